use super::*;

#[test]
fn queries_share_the_cores_and_work_is_conserved() {
    let mut model = Model::new(Shape { cores: 2.0, ..Shape::default() });
    for id in 0..4 {
        assert_eq!(model.take(id, 1.0, 1.0), Taken::Runs);
    }
    assert!(model.advance(1.99).is_empty());
    assert_eq!(model.advance(2.01), [0, 1, 2, 3], "four seconds of work on two cores");
}

#[test]
fn cold_engine_is_slower_and_fails_under_overload() {
    let cold = Shape { cores: 1.0, cold: Some((0.33, 15.0)), ..Shape::default() };
    let mut model = Model::new(cold);
    assert_eq!(model.take(0, 0.5, 1.0), Taken::Runs);
    assert!(model.advance(1.0).is_empty());
    assert_eq!(model.advance(1.5), [0]);
    assert_eq!(model.take(1, 0.8, 1.0), Taken::Runs);
    assert_eq!(model.take(2, 0.8, 1.0), Taken::Fell);
    assert_eq!(model.take(3, 0.1, 1.0), Taken::Full);
    model.advance(2.6);
    assert_eq!(model.take(4, 0.1, 1.0), Taken::Runs);
}
