//! The order of dispatch, and that of ordering keys.

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
fn dispatch_is_in_rising_target_order_and_of_late_requests_by_weight() {
    let mut queue = DispatchQueue::new(2);
    for (class, target, id) in [(0, 100, 1), (0, 50, 2), (1, 60, 3), (1, 200, 4)] {
        queue.enqueue(ClassId(class), key(target, id));
    }
    assert_eq!(order(&queue, 0), [2, 3, 1, 4]);
    assert_eq!(order(&queue, 70), [3, 2, 1, 4], "of the late ones the heavier class first");
    queue.dequeue(ClassId(1), &key(60, 3));
    assert_eq!(order(&queue, 0), [2, 1, 4]);
}

#[test]
fn closed_class_is_left_out_of_the_pass() {
    let mut queue = DispatchQueue::new(2);
    for (class, target, id) in [(0, 10, 1), (0, 20, 2), (1, 30, 3)] {
        queue.enqueue(ClassId(class), key(target, id));
    }
    let mut pass = DispatchPass::new(2);
    let first = pass.next(&queue, &settings(), at_ms(0)).expect("one waits");
    pass.close_class(first.class);
    let next = pass.next(&queue, &settings(), at_ms(0)).expect("one of the other class waits");
    assert_eq!(next.request, RequestId(3));
    assert_eq!(pass.next(&queue, &settings(), at_ms(0)), None);
}

#[test]
fn requests_of_an_ordering_key_follow_each_other() {
    let (mut queue, ordering_key) = (DispatchQueue::new(1), OrderingKeyId(5));
    queue.add_to_order(ordering_key, RequestId(1));
    queue.add_to_order(ordering_key, RequestId(2));
    let is_first = |queue: &DispatchQueue, id, is_retry, millis| {
        queue.is_first_in_order(Some(ordering_key), RequestId(id), is_retry, at_ms(millis))
    };
    assert!(is_first(&queue, 1, false, 0) && !is_first(&queue, 2, false, 0));
    queue.settle_order(ordering_key, at_ms(50));
    assert!(is_first(&queue, 1, true, 0), "a retry follows on its own attempt");
    queue.remove_from_order(ordering_key, RequestId(1));
    assert!(!is_first(&queue, 2, false, 49) && is_first(&queue, 2, false, 50));
    queue.remove_from_order(ordering_key, RequestId(2));
    queue.expire(at_ms(50));
    assert_eq!(queue.tracked(), 0);
}
