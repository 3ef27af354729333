use super::*;

#[test]
fn dropped_connections_free_capacity_on_their_core() {
    let load_table = LoadTable::new(vec![0.0, 1.0, 1.0]);
    let mut connections: Vec<_> = (0..6).map(|_| load_table.place()).collect();
    assert_eq!([0, 1, 2].map(|core| load_table.connections(core)), [0, 3, 3]);
    connections.retain(|connection| connection.core() == 1);
    assert_eq!([0, 1, 2].map(|core| load_table.connections(core)), [0, 3, 0]);
    assert_eq!(load_table.place().core(), 2);
}

#[test]
fn stalled_core_gets_no_connection_until_it_recovers() {
    let load_table = LoadTable::new(vec![1.0, 1.0]);
    load_table.set_accepting(0, false);
    let connections: Vec<_> = (0..4).map(|_| load_table.place()).collect();
    assert!(connections.iter().all(|connection| connection.core() == 1));
    load_table.set_accepting(0, true);
    assert_eq!(load_table.place().core(), 0);
}
