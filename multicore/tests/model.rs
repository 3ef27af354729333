//! Model checks of what several cores share, over all interleavings: `cargo test -p reedwalk-multicore --features loom`.
#![cfg(feature = "loom")]

use loom::sync::Arc;
use loom::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use loom::thread;
use reedwalk_multicore::{DrainFence, DrainFences, EngineStanding, LoadTable};

#[test]
fn two_that_close_a_fence_at_once_leave_the_earlier_instant() {
    loom::model(|| {
        let fence = DrainFence::default();
        let closers: Vec<_> = [30, 10]
            .map(|at| {
                let fence = fence.clone();
                thread::spawn(move || fence.close(at))
            })
            .into();
        closers.into_iter().for_each(|c| c.join().unwrap());
        assert!(fence.is_open(9) && !fence.is_open(10));
    });
}

/// Whoever has heard of the drain in any way finds the fence closed: the flag stands for a message.
#[test]
fn no_write_follows_a_published_drain() {
    loom::model(|| {
        let (fence, told) = (DrainFence::default(), Arc::new(AtomicBool::new(false)));
        let writer = {
            let (fence, told) = (fence.clone(), told.clone());
            thread::spawn(move || {
                let heard = told.load(Ordering::Acquire);
                (heard, fence.is_open(50))
            })
        };
        fence.close(50);
        told.store(true, Ordering::Release);
        let (heard, wrote) = writer.join().unwrap();
        assert!(!(heard && wrote), "written after the news");
    });
}

/// Time passes on one core while another closes and reopens: an order that holds the old fence is never written
/// at or past its instant, whatever the engine's new fence says.
#[test]
fn old_attempt_is_not_written_after_its_engine_returns() {
    loom::model(|| {
        let mut fences = DrainFences::new(5);
        let old = fences.update(&1, EngineStanding::InService, 0);
        let clock = Arc::new(AtomicU64::new(0));
        let writer = {
            let (old, clock) = (old.clone(), clock.clone());
            thread::spawn(move || {
                let now = clock.load(Ordering::Acquire);
                (now, old.is_open(now))
            })
        };
        fences.update(&1, EngineStanding::Draining, 10);
        let new = fences.update(&1, EngineStanding::InService, 12);
        clock.store(20, Ordering::Release);
        assert!(new.is_open(20));
        let (now, wrote) = writer.join().unwrap();
        assert!(!(wrote && now >= 15));
    });
}

#[test]
fn load_table_counts_held_connections_and_ends_at_zero() {
    loom::model(|| {
        let load_table = LoadTable::new(vec![0.5, 0.5]);
        let others: Vec<_> = (0..2)
            .map(|_| {
                let load_table = load_table.clone();
                thread::spawn(move || {
                    let held = load_table.place();
                    assert!(load_table.connections(held.core()) >= 1);
                })
            })
            .collect();
        others.into_iter().for_each(|o| o.join().unwrap());
        assert_eq!((load_table.connections(0), load_table.connections(1)), (0, 0));
    });
}
