use super::*;
use crate::request_memory::RequestMemory;
use reedwalk_scheduler::ClassId;
use std::sync::Arc;

const ONE: ConnectionNumber = ConnectionNumber(1);
const OTHER: ConnectionNumber = ConnectionNumber(2);

fn statement(account: &Arc<RequestMemory>, bytes: usize) -> Statement {
    let header = Header {
        class: ClassId(0),
        trace: None,
        key: None,
        is_retry: false,
        team: None,
        work: None,
        memory_mb: None,
    };
    Statement { header, text: String::new(), memory: account.reserve(bytes).unwrap() }
}

#[tokio::test]
async fn connection_with_the_most_tickets_loses_its_oldest() {
    let (account, now) = (Arc::new(RequestMemory::new(1 << 20)), Instant::now());
    let tickets = Tickets::new(1000);
    let of_one: Vec<_> =
        (0..10).map(|_| tickets.insert(ONE, statement(&account, 100), now).unwrap()).collect();
    assert!(tickets.insert(ONE, statement(&account, 100), now).is_none(), "it holds the most itself");
    let of_other = tickets.insert(OTHER, statement(&account, 100), now).unwrap();
    assert!(tickets.take(&of_one[0], now).is_none(), "the oldest made room");
    assert!(tickets.take(&of_one[1], now).is_some() && tickets.take(&of_other, now).is_some());
    assert!(tickets.take(&of_other, now).is_none(), "a ticket is valid once");
    assert_eq!(account.used_bytes(), 800);
}

#[tokio::test]
async fn expired_and_used_tickets_hold_no_memory() {
    let (account, now) = (Arc::new(RequestMemory::new(1 << 20)), Instant::now());
    let tickets = Tickets::new(1000);
    let first = tickets.insert(ONE, statement(&account, 400), now).unwrap();
    tickets.insert(ONE, statement(&account, 500), now + Duration::from_secs(1)).unwrap();
    drop(tickets.take(&first, now));
    assert_eq!(account.used_bytes(), 500);
    let last =
        tickets.insert(ONE, statement(&account, 900), now + TICKET_TTL + Duration::from_secs(1)).unwrap();
    assert_eq!(account.used_bytes(), 900);
    assert!(tickets.take(&last, now + 2 * TICKET_TTL + Duration::from_secs(1)).is_none(), "it has expired");
    assert_eq!(account.used_bytes(), 0);
}
