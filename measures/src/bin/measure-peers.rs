//! What it is worth that front ends know each other. One of twenty engines turns bad under 20, 100 and 300 front ends,
//! with and without, with messages lost: errors at it, time until it is left alone by half and by all, bytes and CPU a
//! front end, false alarms. Then the same fleet beside a peer that lies. Paired seeds; charts in `docs/design/charts`.

use reedwalk_fleet::chart;
use reedwalk_fleet::fault::Fault;
use reedwalk_fleet::rig::{Rig, Setup, engine_id};
use reedwalk_fleet::{FrontEnd, Load};
use reedwalk_measures::machine;
use reedwalk_standins::driver::End;
use reedwalk_standins::resp::Mood;
use std::path::Path;
use std::time::{Duration, Instant};

const ENGINES: usize = 20;
/// Requests a second over the whole fleet, and their work: six in ten of the engines' cores.
const RATE: f64 = 960.0;
const WORK_MS: f64 = 90.0;
const CALM: Duration = Duration::from_secs(3);
const BAD: Duration = Duration::from_secs(10);
const SEEDS: [u64; 2] = [1, 2];
const LEAVES: [&str; 2] = ["engine ejected, engine: 0,", "others say, left alone"];

struct Seen {
    errors: usize,
    asked: usize,
    served: f64,
    /// Seconds until each left the engine alone, rising.
    knew: Vec<f64>,
    bytes: f64,
    cpu: f64,
    alarms: usize,
}

fn setup(fronts: usize, peers: bool, seed: u64) -> Setup {
    let program =
        std::env::var_os("REEDWALK").map_or("target/release/reedwalk".into(), std::path::PathBuf::from);
    Setup { peers, ..Setup::new(program, fronts, ENGINES, seed) }
}

/// Times that a front end has taken one that lives for dead.
fn alarms(front: &FrontEnd) -> usize {
    let number = |line: &str, what: &str| -> Option<u32> {
        line.split(what).nth(1)?.split([',', ' ']).next()?.parse().ok()
    };
    let fell = |l: &&(Instant, String)| {
        l.1.contains("front ends living") && number(&l.1, "now: ") < number(&l.1, "before: ")
    };
    front.log().iter().filter(fell).count()
}

fn run(fronts: usize, peers: bool, loss: f64, seed: u64) -> Seen {
    let mut rig = Rig::start(setup(fronts, peers, seed));
    rig.net.usual(Fault::lossy(loss));
    rig.play(&Load::lookups(fronts, RATE / fronts as f64, WORK_MS, seed));
    rig.run(CALM);
    let (turned, cpu) = (Instant::now(), rig.all().map(FrontEnd::cpu_ms).sum::<f64>());
    rig.turn(0, Mood::Failing);
    rig.run(BAD);
    let cpu = (rig.all().map(FrontEnd::cpu_ms).sum::<f64>() - cpu) / fronts as f64 / BAD.as_millis() as f64;
    let knew = rig.all().filter_map(|f| f.said(&LEAVES, turned)).map(|at| (at - turned).as_secs_f64());
    let mut knew: Vec<_> = knew.collect();
    knew.sort_by(f64::total_cmp);
    let bytes: usize = (0..fronts).map(|f| rig.net.sent_since(f, turned)).sum();
    let errors = rig.attempts_since(0, turned);
    let seen = rig.end_load();
    let served = seen.iter().filter(|a| a.end == End::Served).count() as f64 / seen.len().max(1) as f64;
    let struck = rig.struck();
    assert!(!peers || loss == 0.0 || struck.lost > 0, "the fault never struck: {struck}");
    Seen {
        errors,
        asked: seen.len(),
        served,
        knew,
        bytes: bytes as f64 / fronts as f64 / BAD.as_secs_f64(),
        cpu: cpu * 100.0,
        alarms: rig.all().map(alarms).sum(),
    }
}

/// The least that an engine gets of its even part, beside a peer that accuses them all, or without one.
fn beside_a_liar(lies: bool, seed: u64) -> f64 {
    let key = vec![b'k'; 40];
    let mut rig = Rig::start(Setup { left_out: vec![19], key: Some(key.clone()), ..setup(20, true, seed) });
    rig.play(&Load::lookups(20, RATE / 20.0, WORK_MS, seed));
    rig.run(CALM);
    let engines: Vec<_> = (0..ENGINES).map(engine_id).collect();
    let began = Instant::now();
    let hostile = rig.hostile(19, Some(&key));
    while began.elapsed() < BAD {
        if lies {
            hostile.accuse(&engines);
            hostile.accuse_as_others(&engines, 20);
            hostile.replay();
            hostile.flood(20);
            hostile.restart();
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let got: Vec<_> = (0..ENGINES).map(|e| rig.attempts_since(e, began) as f64).collect();
    let even = got.iter().sum::<f64>() / ENGINES as f64;
    got.into_iter().fold(f64::MAX, f64::min) / even
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "{} cores; {ENGINES} engines of 8 cores, {RATE} requests/s of {WORK_MS} ms in all; engine 0 errs for {BAD:?}",
        machine()
    );
    println!(
        "| front ends | peers | lost | seed | errors | of requests | served | knew | half (s) | 90% (s) | all (s) | bytes/s each | CPU % each | false alarms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let (mut lines, mut errors, mut last) = (Vec::new(), Vec::new(), Vec::new());
    for fronts in [20, 100, 300] {
        let mut by_loss = Vec::new();
        for (peers, loss) in [(false, 0.0), (true, 0.0), (true, 0.1), (true, 0.3), (true, 0.5)] {
            let mut of_seeds = 0.0;
            for seed in SEEDS {
                let seen = run(fronts, peers, loss, seed);
                let at = |share: f64| {
                    let place = (fronts as f64 * share).ceil() as usize - 1;
                    seen.knew.get(place).map_or("never".to_owned(), |t| format!("{t:.2}"))
                };
                println!(
                    "| {fronts} | {} | {loss:.1} | {seed} | {} | {} | {:.4} | {} | {} | {} | {} | {:.0} | {:.2} | {} |",
                    if peers { "on" } else { "off" },
                    seen.errors,
                    seen.asked,
                    seen.served,
                    seen.knew.len(),
                    at(0.5),
                    at(0.9),
                    at(1.0),
                    seen.bytes,
                    seen.cpu,
                    seen.alarms
                );
                if seed == SEEDS[0] && (loss == 0.0 || loss == 0.3) {
                    let what = if !peers { "off".to_owned() } else { format!("on, {loss} lost") };
                    let share = |(n, t): (usize, &f64)| (*t, (n + 1) as f64 / fronts as f64);
                    lines.push((
                        format!("{fronts}, {what}"),
                        seen.knew.iter().enumerate().map(share).collect::<Vec<_>>(),
                    ));
                }
                of_seeds += seen.errors as f64 / SEEDS.len() as f64;
                last.push((fronts, peers, loss, seen));
            }
            if peers {
                by_loss.push((loss, of_seeds));
            }
        }
        errors.push((format!("{fronts} front ends"), by_loss));
    }
    let folder = Path::new("docs/design/charts");
    std::fs::create_dir_all(folder)?;
    let title = "Share of front ends that leave a bad engine alone, by seconds since it turned bad";
    chart::lines(&folder.join("peers-know.svg"), title, ("seconds", "share"), &lines, &[])?;
    let title = "Errors at a bad engine in ten seconds, by the share of messages lost (mean of two seeds)";
    chart::lines(&folder.join("peers-errors.svg"), title, ("share lost", "errors"), &errors, &[])?;
    let harm: f64 =
        SEEDS.iter().map(|seed| beside_a_liar(false, *seed) - beside_a_liar(true, *seed)).sum::<f64>()
            / SEEDS.len() as f64;
    let pick = |fronts: usize, peers: bool| {
        last.iter().filter(move |l| l.0 == fronts && l.1 == peers && l.2 == 0.0).map(|l| &l.3)
    };
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let know = mean(
        pick(300, true).map(|s| if s.knew.len() == 300 { s.knew[299] } else { f64::INFINITY }).collect(),
    );
    let errors = |peers| mean(pick(300, peers).map(|s| s.errors as f64).collect());
    let bytes = |fronts| mean(pick(fronts, true).map(|s| s.bytes).collect());
    let alarms: usize = last.iter().filter(|l| l.1).map(|l| l.3.alarms).sum();
    println!(
        "peers: 300 know in {know:.2} s, errors with/without = {:.0}/{:.0}, bytes/s each = {:.0} at 20, {:.0} at 300, \
        hostile harm = {:.3}, false alarms = {alarms}",
        errors(true),
        errors(false),
        bytes(20),
        bytes(300),
        harm.max(0.0)
    );
    Ok(())
}
