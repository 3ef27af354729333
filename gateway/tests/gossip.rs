//! Front ends that know each other: real processes, faults between them. Each run prints which faults really struck.

use reedwalk_fault_injection::cluster::{Cluster, Setup, engine_id};
use reedwalk_fault_injection::fault::Fault;
use reedwalk_fault_injection::tcp::Flow;
use reedwalk_fault_injection::{AppliedFaults, Load};
use reedwalk_testkit::load_generator::End;
use reedwalk_testkit::request_log::SlowStart;
use reedwalk_testkit::resp::EngineBehavior;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
/// What the front ends say where they leave an engine alone, by their own finding or on what others say.
const LEAVES: [&str; 2] = ["engine ejected, engine: 0,", "others say, left alone"];

/// One fleet at a time: each has the machine for itself.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn setup(fronts: usize, engines: usize, seed: u64) -> Setup {
    Setup::new(env!("CARGO_BIN_EXE_reedwalk"), fronts, engines, seed)
}

/// What became of an engine that turned bad.
#[derive(Debug)]
struct Lesson {
    /// Attempts at it from then on, all of them errors.
    errors: usize,
    /// Front ends that left it alone on what others said.
    heard: usize,
    /// Until half and all front ends left it alone.
    half: Option<Duration>,
    all: Option<Duration>,
    lost: usize,
    struck: AppliedFaults,
}

/// Twenty front ends, ten engines, one of which turns bad.
fn lesson(peers: bool, loss: f64, seed: u64) -> Lesson {
    let mut cluster = Cluster::start(Setup { peers, ..setup(20, 10, seed) });
    cluster.net.usual(Fault::lossy(loss));
    cluster.play(&Load::lookups(20, 24.0, 100.0, seed));
    cluster.run(2 * SECOND);
    let turned = Instant::now();
    cluster.turn(0, EngineBehavior::Failing);
    cluster.run(8 * SECOND);
    let mut knew: Vec<_> =
        cluster.all().filter_map(|f| f.said(&LEAVES, turned)).map(|at| at - turned).collect();
    knew.sort();
    let seen = cluster.end_load();
    cluster.check_crashes();
    Lesson {
        errors: cluster.attempts_since(0, turned),
        heard: cluster.all().filter(|f| f.said(&LEAVES[1..], turned).is_some()).count(),
        half: knew.get(9).copied(),
        all: knew.get(19).copied(),
        lost: seen.iter().filter(|a| a.end == End::Lost).count(),
        struck: cluster.applied_faults(),
    }
}

#[test]
fn outlier_found_by_few_is_ejected_by_all() {
    let _alone = alone();
    let (without, with, lossy) = (lesson(false, 0.0, 11), lesson(true, 0.0, 11), lesson(true, 0.3, 11));
    println!("without peers: {without:?}\nwith:          {with:?}\n30% lost:      {lossy:?}");
    assert!(lossy.struck.lost > 100 && with.struck.lost == 0, "the fault struck");
    for heard in [&with, &lossy] {
        // Without others each has to meet the engine himself, which takes the half of them over a second.
        assert!(
            heard.half.is_some_and(|t| t < SECOND) && heard.all.is_some_and(|t| t < 3 * SECOND),
            "{heard:?}"
        );
        assert!(heard.heard >= 10, "{heard:?}");
        assert_eq!(heard.lost, 0);
    }
    // How many fewer they are swings with the machine: `make measure-peers` has the figures.
    let mean = (with.errors + lossy.errors) as f64 / 2.0;
    assert!(without.heard == 0 && mean < 0.8 * without.errors as f64, "{mean} of {}", without.errors);
}

/// The part of its even part that an engine gets which has turned slow, and how often others' views were heard.
fn slow(peers: bool, seed: u64) -> (f64, u64) {
    let mut cluster = Cluster::start(Setup { peers, ..setup(20, 10, seed) });
    cluster.play(&Load::lookups(20, 8.0, 50.0, seed));
    cluster.run(2 * SECOND);
    cluster.turn(0, EngineBehavior::Slow);
    cluster.run(2 * SECOND);
    let since = Instant::now();
    cluster.run(8 * SECOND);
    let all = (0..10).map(|e| cluster.attempts_since(e, since)).sum::<usize>();
    let part = cluster.attempts_since(0, since) as f64 * 10.0 / all as f64;
    let heard = if peers { sums(&cluster, "peers_views") } else { 0 };
    let seen = cluster.end_load();
    cluster.check_crashes();
    keeps_rules(&cluster, &seen);
    (part, heard)
}

#[test]
fn slow_engine_is_known_from_gossip() {
    let _alone = alone();
    let (without, with) = (slow(false, 101), slow(true, 101));
    println!("slow engine's part of its even one: {without:.2?} without, {with:.2?} with (and views heard)");
    assert!(with.1 > 20, "{with:?}");
    assert!(with.0 < without.0 + 0.1, "{with:?} {without:?}");
}

#[test]
fn restart_is_known_from_gossip_without_the_name_server() {
    let _alone = alone();
    let mut cluster = Cluster::start(Setup { names: 2, ..setup(20, 10, 91) });
    cluster.play(&Load::lookups(20, 16.0, 50.0, 91));
    cluster.run(2 * SECOND);
    cluster.names[1].set(Fault::cut(), Fault::cut());
    let at = cluster.renew(0);
    let cut_off = || (1..20).step_by(2);
    let heard = cluster.until("all who can't ask have heard", 10 * SECOND, |r| {
        cut_off().all(|n| r.front(n).said(&["others know it anew"], at).is_some())
    });
    let since = Instant::now();
    cluster.run(3 * SECOND);
    let wrong: usize = cluster.all().map(|f| f.times_said("others know it anew, engine: ", at)).sum();
    let seen = cluster.end_load();
    let start = cold(0, at);
    println!(
        "heard in {heard:.1?}, fullest window {:.2} of the budget; {}",
        cluster.record.slow_start_peak(&start),
        cluster.applied_faults()
    );
    assert!(cluster.applied_faults().cut > 10, "the way to the name server was cut");
    assert_eq!((wrong, cluster.record.slow_start_overruns(&SlowStart { at: since, ..start })), (0, 0));
    keeps_rules(&cluster, &seen);
    cluster.check_crashes();
}

/// The least that an engine got of its even part, from a moment on.
fn least_part(cluster: &Cluster, since: Instant) -> f64 {
    let got: Vec<_> = (0..cluster.engines.len()).map(|e| cluster.attempts_since(e, since) as f64).collect();
    let even = got.iter().sum::<f64>() / got.len() as f64;
    got.into_iter().fold(f64::MAX, f64::min) / even.max(1.0)
}

/// The rule of cold starts for an engine of the cluster that started then.
fn cold(engine: usize, at: Instant) -> SlowStart {
    SlowStart {
        engine: engine_id(engine),
        at,
        cores: 8.0,
        from: 0.33,
        ramp: 15 * SECOND,
        window: SECOND,
        multiple: 2.5,
    }
}

fn sums(cluster: &Cluster, name: &str) -> u64 {
    (0..cluster.fronts.len()).filter(|n| cluster.fronts[*n].is_some()).map(|n| cluster.figures(n)[name]).sum()
}

/// A peer that marks every engine sick, says it in others' names, says it again, floods.
fn lied_to(key: Option<&[u8]>, his: Option<&[u8]>, seed: u64) {
    let key = key.map(<[u8]>::to_vec);
    let mut cluster = Cluster::start(Setup { left_out: vec![19], key, ..setup(20, 10, seed) });
    cluster.play(&Load::lookups(20, 16.0, 50.0, seed));
    let engines: Vec<_> = (0..10).map(engine_id).collect();
    let began = Instant::now();
    let hostile = cluster.hostile(19, his);
    while began.elapsed() < 5 * SECOND {
        hostile.accuse(&engines);
        hostile.disparage(&engines);
        hostile.replay();
        hostile.accuse_as_others(&engines, 20);
        hostile.flood(30);
        hostile.restart();
        std::thread::sleep(SECOND / 10);
    }
    let least = least_part(&cluster, began);
    let seen = cluster.end_load();
    let served = seen.iter().filter(|a| a.end == End::Served).count() as f64 / seen.len() as f64;
    let counts = ["taken", "stranger", "flood", "forged", "garbled", "stale", "believed"];
    let counts = counts.map(|c| (c, sums(&cluster, &format!("peers_{c}"))));
    let most = (0..19).map(|f| cluster.net.most_in_a_second(f)).max().unwrap();
    println!(
        "right key {}: least part {least:.2}, served {served:.3}, bytes in a second at most {most}, {counts:?}; {}",
        key_word(his),
        cluster.applied_faults()
    );
    let count = |name: &str| counts.iter().find(|c| c.0 == name).unwrap().1;
    assert_eq!(count("believed"), 0, "nobody was set aside for what one says");
    let anew: usize = cluster.all().map(|f| f.times_said("others know it anew", began)).sum();
    assert_eq!(anew, 0, "nobody is cold since one says so");
    assert!(least > 0.5 && served > 0.99, "{least} {served}");
    assert!(most <= 8192, "{most}");
    if cluster.setup.key.is_some() && his.is_none() {
        assert!(count("forged") > 1000);
    } else {
        assert!(count("stranger") > 100 && count("stale") > 100);
    }
    cluster.check_crashes();
}

fn key_word(key: Option<&[u8]>) -> &'static str {
    if key.is_some() { "held" } else { "not held" }
}

#[test]
fn rogue_gateway_ejects_no_healthy_engine() {
    let _alone = alone();
    let key = [b'9'; 40];
    lied_to(Some(&key), Some(&key), 21);
    lied_to(Some(&key), None, 22);
}

/// Attempts of one request, over all engines, at most; and no request with more than one end or answer.
fn keeps_rules(cluster: &Cluster, seen: &[reedwalk_fault_injection::load::RequestRecord]) {
    let mut traces: Vec<_> = seen.iter().map(|a| a.trace.as_str()).collect();
    let asked = traces.len();
    traces.sort_unstable();
    traces.dedup();
    assert_eq!(traces.len(), asked, "one end a request");
    assert_eq!(cluster.unasked, 0, "second answers");
    assert!(
        cluster.record.most_attempts() <= 3,
        "{} attempts of one request",
        cluster.record.most_attempts()
    );
}

#[test]
fn partition_breaks_no_rule_and_old_reports_expire() {
    let _alone = alone();
    let started = Instant::now();
    let mut cluster = Cluster::start(Setup { cold: true, ..setup(20, 10, 31) });
    cluster.play(&Load::lookups(20, 16.0, 50.0, 31));
    cluster.until("all know all", 10 * SECOND, |r| (0..20).all(|n| r.figures(n)["peers_living"] == 20));
    cluster.turn(0, EngineBehavior::Failing);
    let all_say = |r: &Cluster| r.all().all(|f| f.said(&LEAVES, started).is_some());
    cluster.until("all leave engine 0 alone", 5 * SECOND, all_say);
    cluster.net.split(Some((0..20).map(|n| n % 2).collect()));
    cluster.turn(0, EngineBehavior::Well);
    let halved = |r: &Cluster| (0..20).all(|n| r.figures(n)["peers_living"] == 10);
    let noticed = cluster.until("each half takes the other for dead", 12 * SECOND, halved);
    cluster.run(2 * SECOND);
    cluster.net.split(None);
    let whole = |r: &Cluster| (0..20).all(|n| r.figures(n)["peers_living"] == 20);
    let healed = cluster.until("all know all again", 8 * SECOND, whole);
    let after = Instant::now();
    cluster.run(3 * SECOND);
    let said: usize = cluster.all().map(|f| f.times_said("others say", after)).sum();
    let part = cluster.attempts_since(0, after) as f64 * 10.0
        / (0..10).map(|e| cluster.attempts_since(e, after)).sum::<usize>() as f64;
    let seen = cluster.end_load();
    let struck = cluster.applied_faults();
    println!(
        "split noticed in {noticed:.1?}, healed in {healed:.1?}, engine 0 has {part:.2} of its part after; {struck}"
    );
    assert!(struck.cut > 100);
    assert_eq!(said, 0, "nothing of before is said any more");
    assert!(part > 0.4, "{part}");
    keeps_rules(&cluster, &seen);
    for engine in 0..10 {
        let start = cold(engine, started);
        assert_eq!(
            cluster.record.slow_start_overruns(&start),
            0,
            "engine {engine}, peak {}",
            cluster.record.slow_start_peak(&start)
        );
    }
    assert!(seen.iter().all(|a| a.end != End::Lost));
}

#[test]
fn suspended_gateway_does_no_harm_when_it_resumes() {
    let _alone = alone();
    let mut cluster = Cluster::start(setup(20, 10, 41));
    cluster.play(&Load::lookups(20, 16.0, 50.0, 41));
    cluster.until("all know all", 10 * SECOND, |r| (0..20).all(|n| r.figures(n)["peers_living"] == 20));
    let turned = Instant::now();
    cluster.turn(0, EngineBehavior::Failing);
    cluster.until("all leave engine 0 alone", 5 * SECOND, |r| {
        r.all().all(|f| f.said(&LEAVES, turned).is_some())
    });
    let sleepers: Vec<_> = (0..5).collect();
    cluster.stop(&sleepers);
    cluster.turn(0, EngineBehavior::Well);
    cluster.until("they are taken for dead", 12 * SECOND, |r| {
        (5..20).all(|n| r.figures(n)["peers_living"] == 15)
    });
    std::thread::sleep(3 * SECOND);
    let woken = Instant::now();
    cluster.wake(&sleepers);
    let back =
        cluster.until("all live again", 5 * SECOND, |r| (0..20).all(|n| r.figures(n)["peers_living"] == 20));
    std::thread::sleep((3 * SECOND).saturating_sub(woken.elapsed()));
    cluster.check_crashes();
    let awake: usize = (5..20).map(|n| cluster.front(n).times_said("others say", woken)).sum();
    let least = least_part(&cluster, woken);
    let kept: u64 = sums(&cluster, "peers_kept_back");
    let seen = cluster.end_load();
    println!(
        "five woken: back in {back:.1?}, findings kept back {kept}, least part {least:.2}; {}",
        cluster.applied_faults()
    );
    assert_eq!((cluster.applied_faults().stopped, cluster.applied_faults().woken), (5, 5));
    assert_eq!(awake, 0, "what they found in their sleep moved nobody");
    assert!(least > 0.4, "{least}");
    keeps_rules(&cluster, &seen);
}

/// Bytes, memory and CPU of a front end in a fleet of this size, while half of the engines die and all tell.
fn storm(fronts: usize, seed: u64) -> (usize, f64, f64, Duration) {
    let mut cluster = Cluster::start(setup(fronts, 10, seed));
    let late = Fault { loss: 0.1, ..Fault::late(SECOND / 50, SECOND / 50) };
    cluster.net.usual(late);
    cluster.play(&Load::lookups(fronts, 240.0 / fronts as f64, 50.0, seed));
    cluster.run(2 * SECOND);
    let (turned, cpu) = (Instant::now(), cluster.all().map(|f| f.cpu_ms()).sum::<f64>());
    (0..2).for_each(|engine| cluster.turn(engine, EngineBehavior::Failing));
    cluster.run(4 * SECOND);
    let lives = |n: &usize| cluster.figures(*n)["peers_living"] == fronts as u64;
    assert!((0..fronts).step_by(7).all(|n| lives(&n)), "a false alarm");
    let all = cluster.all().map(|f| f.said(&LEAVES, turned)).max().flatten();
    let all = all.expect("all have heard") - turned;
    let unheard = cluster.all().filter(|f| f.said(&LEAVES, turned).is_none()).count();
    assert_eq!(unheard, 0);
    cluster.end_load();
    let most = (0..fronts).map(|f| cluster.net.most_in_a_second(f)).max().unwrap();
    let memory = cluster.all().map(|f| f.memory_mb()).fold(0.0, f64::max);
    let cpu = (cluster.all().map(|f| f.cpu_ms()).sum::<f64>() - cpu) / fronts as f64 / 40.0;
    let (largest, struck) = (cluster.net.largest(), cluster.applied_faults());
    println!(
        "{fronts}: at most {most} B in a second, {memory:.1} MB, {cpu:.2}% of a core, all know in {all:.2?}, largest {largest} B; {struck}"
    );
    assert!(struck.lost > 100 && struck.late > 1000 && struck.engine_changes == 2);
    assert!(largest <= 256);
    (most, memory, cpu, all)
}

#[test]
fn two_hundred_gateways_keep_to_the_bandwidth_limit() {
    let _alone = alone();
    let (few, many) = (storm(20, 51), storm(200, 52));
    for one in [few, many] {
        assert!(one.0 <= 8192, "{} bytes in a second", one.0);
        assert!(one.3 < 4 * SECOND);
    }
    assert!(many.1 < few.1 + 4.0, "memory {} and {} MB", few.1, many.1);
}

#[test]
fn rolling_restart_leaves_no_stale_members() {
    let _alone = alone();
    let mut cluster = Cluster::start(setup(20, 10, 61));
    // So late that words of the old ones come after those of the new ones.
    cluster.net.usual(Fault::late(SECOND / 5, SECOND / 2));
    cluster.play(&Load::lookups(20, 8.0, 50.0, 61));
    cluster.until("all know all", 10 * SECOND, |r| (0..20).all(|n| r.figures(n)["peers_living"] == 20));
    for wave in 0..4 {
        let which: Vec<_> = (0..20).filter(|n| n % 4 == wave).collect();
        cluster.kill(&which);
        cluster.run(SECOND / 2);
        cluster.restart(&which);
        cluster.run(SECOND / 2);
    }
    cluster.until("all know all anew", 10 * SECOND, |r| (0..20).all(|n| r.figures(n)["peers_living"] == 20));
    let since = Instant::now();
    cluster.run(2 * SECOND);
    // The last to go: nobody keeps him alive by hearsay.
    cluster.kill(&[7]);
    let gone = cluster.until("one that ended is taken for dead", 12 * SECOND, |r| {
        (0..20).filter(|n| *n != 7).all(|n| r.figures(n)["peers_living"] == 19)
    });
    cluster.end_load();
    let struck = cluster.applied_faults();
    println!(
        "waves: one that ended is out after {gone:.1?}; stale {}; {struck}",
        (0..20).filter(|n| *n != 7).map(|n| cluster.figures(n)["peers_stale"]).sum::<u64>()
    );
    assert_eq!((struck.killed, struck.restarted), (21, 20));
    assert!(struck.late > 1000);
    assert!(cluster.all().all(|f| f.times_said("others say", since) == 0), "no ghost accuses");
}

#[test]
fn all_network_faults_at_once_break_no_rule() {
    let _alone = alone();
    let mut cluster = Cluster::start(Setup { names: 1, doors: true, ..setup(20, 10, 81) });
    let mut load = Load::lookups(20, 12.0, 50.0, 81);
    load.shares = [0.6, 0.2, 0.2];
    cluster.play(&load);
    cluster.net.usual(Fault {
        loss: 0.2,
        twice: 0.1,
        garbled: 0.05,
        ..Fault::late(SECOND / 50, SECOND / 20)
    });
    cluster.names[0].set(Fault::lossy(0.2), Fault::late(SECOND / 50, SECOND / 20));
    cluster.run(2 * SECOND);
    cluster.turn(1, EngineBehavior::Failing);
    cluster.turn(2, EngineBehavior::Dead);
    cluster.turn(3, EngineBehavior::Silent);
    let drained = cluster.drain(4);
    let doors = cluster.doors.clone();
    let door = |n: usize| doors[n].as_ref().unwrap();
    (0..3).for_each(|n| door(n).set(Flow { delay: SECOND / 50, rate: Some(200_000.0), ..Flow::default() }));
    door(3).set(Flow { held_back: true, ..Flow::default() });
    cluster.run(2 * SECOND);
    door(3).set(Flow::default());
    door(4).set(Flow::reset());
    cluster.kill(&[7, 8]);
    cluster.stop(&[9]);
    cluster.net.split(Some((0..20).map(|n| n / 10).collect()));
    cluster.run(2 * SECOND);
    door(4).set(Flow::default());
    cluster.restart(&[7, 8]);
    cluster.wake(&[9]);
    cluster.net.split(None);
    (1..4).for_each(|engine| cluster.turn(engine, EngineBehavior::Well));
    cluster.run(4 * SECOND);
    let seen = cluster.end_load();
    let struck = cluster.applied_faults();
    println!("{} asked; {struck}", seen.len());
    let all = [struck.lost, struck.twice, struck.garbled, struck.late, struck.cut, struck.connections_cut];
    assert!(
        all.iter().all(|s| *s > 0) && struck.connections_reset > 0 && struck.engine_changes == 6,
        "{struck}"
    );
    assert_eq!((struck.killed, struck.restarted, struck.stopped, struck.woken), (2, 2, 1, 1));
    keeps_rules(&cluster, &seen);
    let grace = 2 * SECOND + SECOND / 20;
    for late in cluster.record.all().iter().filter(|s| s.engine == engine_id(4) && s.at > drained + grace) {
        let asked =
            seen.iter().find(|a| a.trace == late.trace).map(|a| (a.front, a.at - drained, a.end, a.took));
        println!("after the drain: {:?} {:?}, asked {asked:?}", late.at - drained, late.what);
    }
    assert_eq!(
        cluster.record.late_sends(&engine_id(4), drained, 2 * SECOND + SECOND / 20),
        0,
        "to one that drains"
    );
    assert_eq!(cluster.record.sent_after_window(12 * SECOND), 0, "a key's repeats");
    let after = Instant::now() - SECOND * 2;
    let late: Vec<_> = seen.iter().filter(|a| a.at > after).collect();
    assert!(late.iter().filter(|a| a.end == End::Served).count() * 10 > late.len() * 9, "it is well again");
}

#[test]
fn keys_change_one_front_end_after_the_other_and_nobody_is_lost() {
    let _alone = alone();
    let mut cluster = Cluster::start(Setup { key: Some(vec![b'1'; 32]), ..setup(4, 2, 71) });
    let all = |r: &Cluster| (0..4).all(|n| r.figures(n)["peers_living"] == 4);
    cluster.until("all know all", 10 * SECOND, all);
    let path = cluster.folder().join("peers.key");
    // A bad file leaves the old key.
    std::fs::write(&path, "short").unwrap();
    cluster.front(0).hang_up();
    cluster
        .until("the bad key is said", 5 * SECOND, |r| r.front(0).times_said("keys not taken", r.began) > 0);
    std::fs::write(&path, [b'2'; 32]).unwrap();
    cluster.front(0).hang_up();
    cluster.until("the others do not believe it", 12 * SECOND, |r| {
        r.figures(1)["peers_living"] == 3 && r.figures(1)["peers_forged"] > 0
    });
    (1..4).for_each(|n| _ = cluster.front(n).hang_up());
    cluster.until("all know all with the new key", 10 * SECOND, all);
    cluster.check_crashes();
}
