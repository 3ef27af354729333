//! Charts of a run as SVG files.

use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of a chart in pixels.
const SIZE_PX: (u32, u32) = (900, 420);
const MARGIN_PX: u32 = 10;
const X_LABELS_PX: u32 = 36;
const Y_LABELS_PX: u32 = 54;
const TITLE_FONT: (&str, u32) = ("sans-serif", 18);
const MARK_FONT: (&str, u32) = ("sans-serif", 11);
const LINE_WIDTH_PX: u32 = 2;
const LEGEND_LINE_PX: i32 = 16;

/// Ratio of the end of an axis to the largest value.
const AXIS_HEADROOM: f64 = 1.05;
/// The largest value of an axis or a heat map where all values are 0, which avoids a division by zero.
const MIN_SCALE: f64 = 1e-9;

/// A line of a chart: its name in the legend and its points (x, y).
pub type Line = (String, Vec<(f64, f64)>);

fn blank_drawing(path: &Path) -> Result<DrawingArea<SVGBackend<'_>, Shift>, Box<dyn Error>> {
    let drawing = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    drawing.fill(&WHITE)?;
    Ok(drawing)
}

/// The end of an axis that begins at 0 and shows all these values.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max).max(MIN_SCALE) * AXIS_HEADROOM
}

/// Draws lines over common axes, with vertical marks at the times of a run's steps. `axes` are the labels of x and y.
///
/// # Errors
/// Returns an error if the file can't be written.
pub fn draw_lines(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
    marks: &[(f64, String)],
) -> Result<(), Box<dyn Error>> {
    let drawing = blank_drawing(path)?;
    let points = || lines.iter().flat_map(|line| &line.1);
    let x_end = axis_end(points().map(|point| point.0));
    let y_end = axis_end(points().map(|point| point.1));
    let mut chart = ChartBuilder::on(&drawing)
        .caption(title, TITLE_FONT)
        .margin(MARGIN_PX)
        .x_label_area_size(X_LABELS_PX)
        .y_label_area_size(Y_LABELS_PX)
        .build_cartesian_2d(0.0..x_end, 0.0..y_end)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).light_line_style(WHITE).draw()?;
    for (x, label) in marks {
        chart.draw_series(LineSeries::new([(*x, 0.0), (*x, y_end)], BLACK.mix(0.35)))?;
        chart.draw_series([Text::new(label.clone(), (*x, y_end * 0.98), MARK_FONT)])?;
    }
    for (index, (name, points)) in lines.iter().enumerate() {
        let style = Palette99::pick(index).to_rgba().stroke_width(LINE_WIDTH_PX);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PX, y)], style));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    drawing.present()?;
    Ok(())
}

/// Draws a heat map of rows by columns, in which the largest value is the darkest. `axes` are the labels of x and y.
///
/// # Errors
/// Returns an error if the file can't be written.
pub fn draw_heat_map(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    rows: &[Vec<f64>],
) -> Result<(), Box<dyn Error>> {
    let drawing = blank_drawing(path)?;
    let column_count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let largest = rows.iter().flatten().copied().fold(MIN_SCALE, f64::max);
    let mut chart = ChartBuilder::on(&drawing)
        .caption(format!("{title} (darkest: {largest:.0})"), TITLE_FONT)
        .margin(MARGIN_PX)
        .x_label_area_size(X_LABELS_PX)
        .y_label_area_size(Y_LABELS_PX)
        .build_cartesian_2d(0.0..column_count as f64, 0.0..rows.len() as f64)?;
    chart.configure_mesh().disable_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    for (row, values) in rows.iter().enumerate() {
        let cells = values.iter().enumerate().map(|(column, value)| {
            let (x, y) = (column as f64, row as f64);
            let shade = (255.0 * (1.0 - value / largest)) as u8;
            Rectangle::new([(x, y), (x + 1.0, y + 1.0)], RGBColor(shade, shade, 255).filled())
        });
        chart.draw_series(cells)?;
    }
    drawing.present()?;
    Ok(())
}
