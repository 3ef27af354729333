use super::*;

#[test]
fn full_queue_drops_the_oldest() {
    let mut outbox = WriteBehindQueue::new(3);
    (0..5).for_each(|n| outbox.push(n));
    assert_eq!((outbox.take(2), outbox.dropped()), (vec![2, 3], 2));
    assert_eq!((outbox.take(9), outbox.take(9)), (vec![4], vec![]));
}
