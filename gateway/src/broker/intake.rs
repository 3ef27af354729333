//! Where the fronts hand requests in.

use super::message::{Answer, Ask, Failure, Input, Refusal, Reply};
use crate::figures::{Ending, Figures, Taken};
use reedwalk_core::{ClassId, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// How long a client is asked to stay away when the queue itself is full.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// A front's way to the broker; cheap to clone.
#[derive(Clone, Debug)]
pub struct Intake {
    queue: mpsc::Sender<Input>,
    figures: Arc<Figures>,
    next: Arc<AtomicU64>,
}

/// A request in the broker's hands. Dropped before its answer, it tells the broker that the client has left.
#[derive(Debug)]
pub struct Ticket {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    queue: mpsc::Sender<Input>,
    left: CancellationToken,
    taken: Taken,
    answered: bool,
}

impl Intake {
    /// An intake in front of the broker's queue that counts what is handed in.
    pub fn new(queue: mpsc::Sender<Input>, figures: Arc<Figures>) -> Self {
        Self { queue, figures, next: Arc::default() }
    }

    /// A request that its front answers by itself, before it could be handed in.
    pub fn turned_away(&self, class: ClassId, ending: Ending) {
        self.figures.take(class).end(ending);
    }

    /// A number that this intake has not given before, spread over all values: an id for a request without one.
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
        let left = CancellationToken::new();
        let reply = Reply { answer: reply, left: left.clone() };
        let mut taken = self.figures.take(ask.class);
        match self.queue.try_send(Input::Arrival(id, Box::new(ask), reply)) {
            Ok(()) => Ok(Ticket { id, answer, queue: self.queue.clone(), left, taken, answered: false }),
            Err(_) => {
                taken.end(Ending::Rejected);
                Err(Answer::Refused { why: Refusal::Shed, retry_after: Some(SHED_RETRY) })
            }
        }
    }
}

impl Ticket {
    /// Waits for the final answer; none if the broker has ended.
    pub async fn answer(&mut self) -> Option<Answer> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        self.taken.end(answer.as_ref().map_or(Ending::Failed, Ending::from));
        answer
    }

    /// The front fails it by itself; the broker hears of it when the ticket is dropped.
    pub fn fail(&mut self, why: Failure) -> Answer {
        self.taken.end(Ending::Failed);
        Answer::Failed(why)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.answered {
            // From here on no link writes it, also where the queue is full and the broker finds out by itself.
            self.left.cancel();
            let _ = self.queue.try_send(Input::Left(self.id));
        }
    }
}
