use super::*;

#[test]
fn each_outcome_is_counted_once_and_no_request_stays_pending() {
    let metrics = Arc::new(Metrics::new(&["lookup".to_owned(), "batch-post".to_owned()]));
    let mut requests: Vec<_> = (0..6).map(|n| metrics.start_request(ClassId(n % 2))).collect();
    assert_eq!(metrics.pending(), 6);
    requests[0].end(RequestOutcome::Completed);
    requests[0].end(RequestOutcome::Failed);
    requests[1].end(RequestOutcome::Rejected);
    requests[2].end(RequestOutcome::Failed);
    requests[3].end(RequestOutcome::Completed);
    assert_eq!(metrics.pending(), 2);
    drop(requests);
    assert_eq!(metrics.pending(), 0);
    metrics.count_upstream_request();
    metrics.set_members(7);
    metrics.set_unavailable(2);
    let lines = "svc.completed.lookup:1|c\nsvc.rejected.lookup:0|c\nsvc.failed.lookup:1|c\n\
        svc.completed.batch-post:1|c\nsvc.rejected.batch-post:1|c\nsvc.failed.batch-post:0|c\n\
        svc.upstream_requests:1|c\nsvc.pending:0|g\nsvc.members:7|g\nsvc.members_unavailable:2|g\n";
    assert_eq!(metrics.text(), lines);
}
