use super::*;

#[test]
fn places_come_free_and_go_to_whom_they_are_meant_for() {
    let load_table = LoadTable::new(vec![0.0, 1.0, 1.0]);
    let mut held: Vec<_> = (0..6).map(|_| load_table.place()).collect();
    assert_eq!([0, 1, 2].map(|c| load_table.connections(c)), [0, 3, 3]);
    held.retain(|h| h.core() == 1);
    assert_eq!([0, 1, 2].map(|c| load_table.connections(c)), [0, 3, 0]);
    assert_eq!(load_table.place().core(), 2);
}

#[test]
fn what_stands_still_gets_nothing_until_it_is_back() {
    let load_table = LoadTable::new(vec![1.0, 1.0]);
    load_table.set_accepting(0, false);
    let held: Vec<_> = (0..4).map(|_| load_table.place()).collect();
    assert!(held.iter().all(|h| h.core() == 1));
    load_table.set_accepting(0, true);
    assert_eq!(load_table.place().core(), 0);
}
