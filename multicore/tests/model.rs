//! Model checks of the state shared between cores, over all thread interleavings:
//! `cargo test -p reedwalk-multicore --features loom`.
#![cfg(feature = "loom")]

use loom::sync::Arc;
use loom::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use loom::thread;
use reedwalk_multicore::{DrainFence, DrainFences, DrainState, LoadTable};

#[test]
fn earlier_of_two_concurrent_closes_takes_effect() {
    loom::model(|| {
        let fence = DrainFence::default();
        let closers: Vec<_> = [30, 10]
            .map(|at| {
                let fence = fence.clone();
                thread::spawn(move || fence.close(at))
            })
            .into();
        closers.into_iter().for_each(|closer| closer.join().unwrap());
        assert!(fence.is_open(9) && !fence.is_open(10));
    });
}

/// A thread that was notified of the drain must see the fence closed. The flag models the notification.
#[test]
fn no_attempt_is_written_after_the_drain_notification() {
    loom::model(|| {
        let (fence, notified) = (DrainFence::default(), Arc::new(AtomicBool::new(false)));
        let writer = {
            let (fence, notified) = (fence.clone(), notified.clone());
            thread::spawn(move || {
                let was_notified = notified.load(Ordering::Acquire);
                (was_notified, fence.is_open(50))
            })
        };
        fence.close(50);
        notified.store(true, Ordering::Release);
        let (was_notified, wrote) = writer.join().unwrap();
        assert!(!(was_notified && wrote), "written after the notification");
    });
}

/// An engine is drained and returned by one core while the clock advances on another: an attempt that holds the old fence
/// must not be written at or after its closing time, although the engine's new fence is open.
#[test]
fn old_attempt_is_not_written_after_its_engine_returns() {
    loom::model(|| {
        let mut fences = DrainFences::new(5);
        let old = fences.update(&1, DrainState::InService, 0);
        let clock = Arc::new(AtomicU64::new(0));
        let writer = {
            let (old, clock) = (old.clone(), clock.clone());
            thread::spawn(move || {
                let now = clock.load(Ordering::Acquire);
                (now, old.is_open(now))
            })
        };
        fences.update(&1, DrainState::Draining, 10);
        let new = fences.update(&1, DrainState::InService, 12);
        clock.store(20, Ordering::Release);
        assert!(new.is_open(20));
        let (now, wrote) = writer.join().unwrap();
        assert!(!(wrote && now >= 15));
    });
}

#[test]
fn load_table_counts_open_connections_and_returns_to_zero() {
    loom::model(|| {
        let load_table = LoadTable::new(vec![0.5, 0.5]);
        let threads: Vec<_> = (0..2)
            .map(|_| {
                let load_table = load_table.clone();
                thread::spawn(move || {
                    let connection = load_table.place();
                    assert!(load_table.connections(connection.core()) >= 1);
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| thread.join().unwrap());
        assert_eq!((load_table.connections(0), load_table.connections(1)), (0, 0));
    });
}
