//! Charts of a run as SVG.

use plotters::prelude::*;
use std::error::Error;
use std::ops::Range;
use std::path::Path;

/// A line of a chart: its name and its points.
pub type Line = (String, Vec<(f64, f64)>);

/// Lines over a common axis, with marks at the times at which something was done to the fleet.
///
/// # Errors
/// Where the file can't be written.
pub fn lines(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
    marks: &[(f64, String)],
) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|l| &l.1);
    let span = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(0.0, f64::max).max(1e-9) * 1.05;
    let (x, y) = (span(|p| p.0), span(|p| p.1));
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..x, 0.0..y)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).light_line_style(WHITE).draw()?;
    for (at, what) in marks {
        chart.draw_series(LineSeries::new([(*at, 0.0), (*at, y)], BLACK.mix(0.35)))?;
        chart.draw_series([Text::new(what.clone(), (*at, y * 0.98), ("sans-serif", 11))])?;
    }
    for (n, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    root.present()?;
    Ok(())
}

/// A field of cells, the darker the more: rows by columns.
///
/// # Errors
/// Where the file can't be written.
pub fn heat(path: &Path, title: &str, axes: (&str, &str), cells: &[Vec<f64>]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let (rows, columns) = (cells.len(), cells.iter().map(Vec::len).max().unwrap_or(0));
    let most = cells.iter().flatten().copied().fold(1e-9, f64::max);
    let range = |count: usize| -> Range<f64> { 0.0..count as f64 };
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{title} (darkest: {most:.0})"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(54)
        .build_cartesian_2d(range(columns), range(rows))?;
    chart.configure_mesh().disable_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    let cell = |(row, column, value): (usize, usize, f64)| {
        let (x, y) = (column as f64, row as f64);
        let shade = (255.0 * (1.0 - value / most)) as u8;
        Rectangle::new([(x, y), (x + 1.0, y + 1.0)], RGBColor(shade, shade, 255).filled())
    };
    let all =
        cells.iter().enumerate().flat_map(|(r, row)| row.iter().enumerate().map(move |(c, v)| (r, c, *v)));
    chart.draw_series(all.map(cell))?;
    root.present()?;
    Ok(())
}
