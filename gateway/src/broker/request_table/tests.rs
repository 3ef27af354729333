use super::*;
use crate::message::Failure;
use reedwalk_scheduler::ClassId;
use std::time::Duration;

fn request(trace_id: &'static str, deadline: Instant) -> Request {
    Request {
        trace_id: Bytes::from_static(trace_id.as_bytes()),
        class: ClassId(0),
        team: None,
        deadline,
        is_retry: false,
        idempotency_key: None,
        work: None,
        memory_mb: None,
        table_group: None,
        is_update: false,
        statement: Bytes::from_static(b"SELECT 1"),
    }
}

/// Adds a request. Returns the client's ends: the receiver of the response and the disconnect token.
fn open(
    table: &mut RequestTable,
    id: u64,
    trace_id: &'static str,
    deadline: Instant,
) -> (oneshot::Receiver<Response>, CancellationToken) {
    let (sender, receiver) = oneshot::channel();
    let disconnected = CancellationToken::new();
    let response = ResponseHandle { sender, disconnected: disconnected.clone() };
    table.insert(RequestId(id), OpenRequest::new(request(trace_id, deadline), response));
    (receiver, disconnected)
}

#[test]
fn response_is_taken_once() {
    let mut table = RequestTable::new(8);
    let (mut client, _) = open(&mut table, 1, "a", Instant::now());
    let sender = table.take_response(RequestId(1)).expect("the request is open");
    assert!(table.take_response(RequestId(1)).is_none());
    sender.send(Response::Failed(Failure::Engine)).unwrap();
    assert_eq!(client.try_recv(), Ok(Response::Failed(Failure::Engine)));
}

#[test]
fn request_stays_open_while_it_waits_or_has_an_attempt_in_flight() {
    let mut table = RequestTable::new(8);
    let _client = open(&mut table, 1, "a", Instant::now());
    assert!(table.remove_if_complete(RequestId(1)).is_none(), "the request is unanswered");
    table.take_response(RequestId(1));
    let attempt = AttemptRef { number: AttemptNo(0), id: AttemptId(5) };
    table.get_mut(RequestId(1)).unwrap().in_flight.push(attempt);
    assert!(table.remove_if_complete(RequestId(1)).is_none(), "an attempt is in flight");
    assert!(table.contains_trace_id(&Bytes::from_static(b"a")));
    table.get_mut(RequestId(1)).unwrap().in_flight.clear();
    assert!(table.remove_if_complete(RequestId(1)).is_some());
    assert!(table.is_empty() && !table.contains_trace_id(&Bytes::from_static(b"a")));
}

#[test]
fn capacity_is_bounded_by_the_share() {
    let mut table = RequestTable::new(2);
    let _first = open(&mut table, 1, "a", Instant::now());
    assert!(table.has_capacity(1.0) && !table.has_capacity(0.5));
    let _second = open(&mut table, 2, "b", Instant::now());
    assert!(!table.has_capacity(1.0));
}

#[test]
fn only_unanswered_requests_of_disconnected_clients_are_found() {
    let mut table = RequestTable::new(8);
    let (_client, disconnected) = open(&mut table, 1, "a", Instant::now());
    let (_other, answered) = open(&mut table, 2, "b", Instant::now());
    let _connected = open(&mut table, 3, "c", Instant::now());
    disconnected.cancel();
    answered.cancel();
    table.take_response(RequestId(2));
    assert_eq!(table.disconnected(), [RequestId(1)]);
}

#[test]
fn only_requests_with_later_deadlines_are_found() {
    let now = Instant::now();
    let mut table = RequestTable::new(8);
    let _early = open(&mut table, 1, "a", now);
    let _late = open(&mut table, 2, "b", now + Duration::from_secs(1));
    let late: Vec<_> = table.with_deadline_after(now).map(|(id, _)| id).collect();
    assert_eq!(late, [RequestId(2)]);
}
