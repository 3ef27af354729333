//! Where the fronts hand requests in.

use super::message::{Answer, Ask, Input, Refusal};
use reedwalk_core::RequestId;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How long a client is asked to stay away when the queue itself is full.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// A front's way to the broker; cheap to clone.
#[derive(Clone, Debug)]
pub struct Desk {
    queue: mpsc::Sender<Input>,
    next: Arc<AtomicU64>,
}

/// A request in the broker's hands. Dropped before its answer, it tells the broker that the client has left.
#[derive(Debug)]
pub struct Ticket {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    queue: mpsc::Sender<Input>,
    answered: bool,
}

impl Desk {
    /// A desk in front of the broker's queue.
    pub fn new(queue: mpsc::Sender<Input>) -> Self {
        Self { queue, next: Arc::default() }
    }

    /// A number that this desk has not given before, spread over all values: an id for a request without one.
    pub fn fresh(&self) -> u64 {
        let n = self.next.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        n.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }

    /// Hands a request in.
    ///
    /// # Errors
    /// The refusal to give at once, where the queue is full.
    pub fn ask(&self, ask: Ask) -> Result<Ticket, Answer> {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        match self.queue.try_send(Input::Arrival(id, Box::new(ask), reply)) {
            Ok(()) => Ok(Ticket { id, answer, queue: self.queue.clone(), answered: false }),
            Err(_) => Err(Answer::Refused { why: Refusal::Shed, retry_after: Some(SHED_RETRY) }),
        }
    }
}

impl Ticket {
    /// Waits for the final answer; none if the broker has ended.
    pub async fn answer(&mut self) -> Option<Answer> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        answer
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.answered {
            // Where the queue is full the broker finds out by itself: the receiver is gone.
            let _ = self.queue.try_send(Input::Left(self.id));
        }
    }
}
