//! Plays one day of a fleet from its description: `reedwalk-fleet DAY.kdl [FOLDER]`. Prints what was seen by the second
//! and what really struck, and draws charts into the folder.

use indicatif::{ProgressBar, ProgressStyle};
use reedwalk_fleet::chart;
use reedwalk_fleet::day::{self, Day, Event, Way};
use reedwalk_fleet::rig::{Rig, Setup, engine_id};
use reedwalk_fleet::tcp::Flow;
use reedwalk_fleet::{Load, Struck};
use reedwalk_standins::driver::End;
use reedwalk_standins::model::Shape;
use reedwalk_standins::record::What;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

fn apply(rig: &mut Rig, event: &Event) {
    match event {
        Event::Links(fault) => rig.net.usual(*fault),
        Event::Split(groups) => {
            let count = rig.fronts.len();
            rig.net.split(Some((0..count).map(|n| n % groups.max(&1)).collect()));
        }
        Event::Heal => rig.net.split(None),
        Event::Engine(engine, mood) => rig.turn(*engine, *mood),
        Event::Kill(which) => rig.kill(which),
        Event::Restart(which) => rig.restart(which),
        Event::Stop(which) => rig.stop(which),
        Event::Wake(which) => rig.wake(which),
        Event::Way(hall, engine, way) => {
            let flow = match way {
                Way::Held => Flow::silent(),
                Way::Reset => Flow::reset(),
                Way::Open => Flow::default(),
            };
            rig.flow(*hall, *engine, flow);
        }
    }
}

/// Which counts of what struck a day must show, or its fault never did.
fn missing(day: &Day, struck: &Struck) -> Vec<&'static str> {
    let any = |holds: fn(&Event) -> bool| day.events.iter().any(|e| holds(&e.1));
    let wanted = [
        (any(|e| matches!(e, Event::Links(f) if f.loss > 0.0)) && day.peers, struck.lost, "lost datagrams"),
        (
            any(|e| matches!(e, Event::Links(f) if f.twice > 0.0)) && day.peers,
            struck.twice,
            "doubled datagrams",
        ),
        (
            any(|e| matches!(e, Event::Links(f) if f.garbled > 0.0)) && day.peers,
            struck.garbled,
            "garbled datagrams",
        ),
        (
            any(|e| matches!(e, Event::Links(f) if !f.delay.is_zero())) && day.peers,
            struck.late,
            "late datagrams",
        ),
        (any(|e| matches!(e, Event::Split(_))) && day.peers, struck.cut, "datagrams cut by the split"),
        (any(|e| matches!(e, Event::Engine(..))), struck.engines_turned, "engines turned"),
        (any(|e| matches!(e, Event::Kill(_))), struck.killed, "processes killed"),
        (any(|e| matches!(e, Event::Restart(_))), struck.restarted, "processes restarted"),
        (any(|e| matches!(e, Event::Stop(_))), struck.stopped, "processes stopped"),
        (any(|e| matches!(e, Event::Wake(_))), struck.woken, "processes woken"),
        (any(|e| matches!(e, Event::Way(_, _, Way::Held))), struck.connections_cut, "connections held"),
        (any(|e| matches!(e, Event::Way(_, _, Way::Reset))), struck.connections_reset, "connections reset"),
    ];
    wanted.into_iter().filter(|w| w.0 && w.1 == 0).map(|w| w.2).collect()
}

fn play(day: &Day, folder: &std::path::Path) -> Result<bool, Box<dyn std::error::Error>> {
    let program = std::env::var_os("REEDWALK").map_or("target/release/reedwalk".into(), PathBuf::from);
    let shape = Shape { cores: day.cores, ..Shape::default() };
    let (halls, cold, peers) = (day.halls, day.cold, day.peers);
    let setup = Setup { shape, halls, cold, peers, ..Setup::new(program, day.fronts, day.engines, day.seed) };
    let mut rig = Rig::start(setup);
    let mut load = Load::lookups(day.fronts, day.rate / day.fronts as f64, day.work_ms, day.seed);
    load.shares = [1.0 - day.statements - day.posts, day.statements, day.posts];
    let began = Instant::now();
    rig.play(&load);
    let style = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} s {msg}")?;
    let bar = ProgressBar::new(day.lasts.as_secs()).with_style(style).with_prefix(day.name.clone());
    let (mut events, mut marks) = (day.events.iter().peekable(), Vec::new());
    while began.elapsed() < day.lasts {
        while let Some((_, event)) = events.next_if(|e| e.0 <= began.elapsed()) {
            marks.push((
                began.elapsed().as_secs_f64(),
                format!("{event:?}").chars().take(24).collect::<String>(),
            ));
            apply(&mut rig, event);
        }
        bar.set_position(began.elapsed().as_secs());
        rig.run(Duration::from_millis(10));
    }
    let stopped: Vec<_> = (0..day.fronts).collect();
    rig.wake(&stopped);
    bar.finish_and_clear();
    let seen = rig.end_load();
    let seconds = day.lasts.as_secs() as usize + 1;
    let second = |at: Instant| (at.saturating_duration_since(began).as_secs() as usize).min(seconds - 1);
    let mut ends = vec![[0u64; 4]; seconds];
    for asked in &seen {
        let place = match asked.end {
            End::Served => 0,
            End::Refused => 1,
            End::Failed => 2,
            End::Lost => 3,
        };
        ends[second(asked.at)][place] += 1;
    }
    let (mut sends, mut left_alone) = (vec![vec![0.0; seconds]; day.engines], vec![0.0; seconds]);
    for one in rig.record.all().iter().filter(|s| matches!(s.what, What::Began { .. })) {
        let engine = (0..day.engines).find(|e| engine_id(*e) == one.engine);
        engine.into_iter().for_each(|e| sends[e][second(one.at)] += 1.0);
    }
    for (at, _) in rig.all().flat_map(|f| f.log()).filter(|l| l.1.contains("others say")) {
        left_alone[second(at)] += 1.0;
    }
    println!("| second | served | refused | failed | lost | left alone on hearsay |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (n, [served, refused, failed, lost]) in ends.iter().enumerate() {
        println!("| {n} | {served} | {refused} | {failed} | {lost} | {} |", left_alone[n]);
    }
    let bytes: usize = (0..day.fronts).map(|f| rig.net.sent_since(f, began)).sum();
    let each = bytes as f64 / day.fronts as f64 / day.lasts.as_secs_f64();
    let struck = rig.struck();
    println!(
        "bytes a second each: {each:.0}; attempts of one request at most: {}",
        rig.record.most_attempts()
    );
    println!("struck: {struck}");
    std::fs::create_dir_all(folder)?;
    let line = |name: &str, place: usize| {
        (name.to_owned(), ends.iter().enumerate().map(|(n, e)| (n as f64, e[place] as f64)).collect())
    };
    let ends = [line("served", 0), line("refused", 1), line("failed", 2), line("lost", 3)];
    let title = format!("{}: how requests ended, by the second they were asked in", day.name);
    chart::lines(
        &folder.join(format!("{}-service.svg", day.name)),
        &title,
        ("seconds", "requests"),
        &ends,
        &marks,
    )?;
    let title = format!("{}: attempts by engine and second", day.name);
    chart::heat(&folder.join(format!("{}-engines.svg", day.name)), &title, ("seconds", "engine"), &sends)?;
    let believes = left_alone.iter().enumerate().map(|(n, c)| (n as f64, *c)).collect();
    let title = format!("{}: front ends told to leave an engine alone", day.name);
    let lines = [("told".to_owned(), believes)];
    chart::lines(
        &folder.join(format!("{}-beliefs.svg", day.name)),
        &title,
        ("seconds", "times"),
        &lines,
        &marks,
    )?;
    println!("charts: {}", folder.display());
    let missing = missing(day, &struck);
    if !missing.is_empty() {
        println!("FAILED: the day's faults never struck: {}", missing.join(", "));
    }
    Ok(missing.is_empty())
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let Some(path) = args.next() else {
        eprintln!("usage: reedwalk-fleet DAY.kdl [FOLDER]");
        return ExitCode::FAILURE;
    };
    let folder = args.next().map_or("target/fleet".into(), PathBuf::from);
    let day = std::fs::read_to_string(&path)
        .map_err(|e| e.to_string())
        .and_then(|t| day::read(&t).map_err(|e| e.to_string()));
    let done = day.and_then(|day| play(&day, &folder).map_err(|e| e.to_string()));
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("reedwalk-fleet: {path}: {error}");
            ExitCode::FAILURE
        }
    }
}
