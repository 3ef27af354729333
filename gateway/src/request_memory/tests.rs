use super::*;

#[test]
fn large_requests_do_not_exhaust_the_account() {
    let account = Arc::new(RequestMemory::new(10_000));
    assert!(account.reserve(9_000).is_some() && account.reserve(10_001).is_none(), "alone it takes all");
    let one = account.reserve(1).unwrap();
    assert!(account.reserve(1_300).is_none(), "eight of this size do not fit beside it");
    drop(one);
    let large: Vec<_> = std::iter::from_fn(|| account.reserve(1_000)).collect();
    assert_eq!((large.len(), account.used_bytes()), (3, 3_000));
    let small: Vec<_> = std::iter::from_fn(|| account.reserve(10)).collect();
    assert!(small.len() > 600, "{}", small.len());
    assert!(account.used_bytes() <= account.max_bytes());
    drop((large, small));
    assert_eq!(account.used_bytes(), 0);
}

#[test]
fn reservation_that_cannot_grow_keeps_its_size() {
    let account = Arc::new(RequestMemory::new(10_000));
    let _other = account.reserve(1).unwrap();
    let mut reservation = account.reserve(500).unwrap();
    assert!(reservation.grow(500));
    assert!(!reservation.grow(5_000));
    assert_eq!((reservation.bytes(), account.used_bytes()), (1_000, 1_001));
}
