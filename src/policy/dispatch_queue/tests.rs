//! Dispatch order, and the order of requests with the same ordering key.

use super::*;
use crate::policy::tests::{at_ms, settings};

fn key(target_ms: i64, id: u64) -> QueueKey {
    QueueKey { target: at_ms(target_ms), sequence: id, request: RequestId(id) }
}

fn order(queue: &DispatchQueue, millis: i64) -> Vec<u64> {
    let (mut pass, settings) = (DispatchPass::new(2), settings());
    std::iter::from_fn(|| pass.next(queue, &settings, at_ms(millis))).map(|next| next.request.0).collect()
}

#[test]
fn dispatch_is_by_ascending_target_and_late_requests_go_first_by_weight() {
    let mut queue = DispatchQueue::new(2);
    for (class, target, id) in [(0, 100, 1), (0, 50, 2), (1, 60, 3), (1, 200, 4)] {
        queue.enqueue(ClassId(class), key(target, id));
    }
    assert_eq!(order(&queue, 0), [2, 3, 1, 4]);
    assert_eq!(order(&queue, 70), [3, 2, 1, 4], "late requests by descending priority weight");
    queue.dequeue(ClassId(1), &key(60, 3));
    assert_eq!(order(&queue, 0), [2, 1, 4]);
}

#[test]
fn pass_skips_a_closed_class() {
    let mut queue = DispatchQueue::new(2);
    for (class, target, id) in [(0, 10, 1), (0, 20, 2), (1, 30, 3)] {
        queue.enqueue(ClassId(class), key(target, id));
    }
    let mut pass = DispatchPass::new(2);
    let first = pass.next(&queue, &settings(), at_ms(0)).expect("a request waits");
    pass.close_class(first.class);
    let next = pass.next(&queue, &settings(), at_ms(0)).expect("a request of the other class waits");
    assert_eq!(next.request, RequestId(3));
    assert_eq!(pass.next(&queue, &settings(), at_ms(0)), None);
}

#[test]
fn requests_with_the_same_ordering_key_are_sent_in_order() {
    let (mut queue, ordering_key) = (DispatchQueue::new(1), OrderingKeyId(5));
    queue.add_to_ordering_queue(ordering_key, RequestId(1));
    queue.add_to_ordering_queue(ordering_key, RequestId(2));
    let is_first = |queue: &DispatchQueue, id, is_retry, millis| {
        queue.is_first_in_order(Some(ordering_key), RequestId(id), is_retry, at_ms(millis))
    };
    assert!(is_first(&queue, 1, false, 0) && !is_first(&queue, 2, false, 0));
    queue.block_ordering_key(ordering_key, at_ms(50));
    assert!(is_first(&queue, 1, true, 0), "a retry does not wait for its own earlier attempt");
    queue.remove_from_ordering_queue(ordering_key, RequestId(1));
    assert!(!is_first(&queue, 2, false, 49) && is_first(&queue, 2, false, 50));
    queue.remove_from_ordering_queue(ordering_key, RequestId(2));
    queue.expire(at_ms(50));
    assert_eq!(queue.tracked(), 0);
}
