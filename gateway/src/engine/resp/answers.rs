//! How a connection processes the replies of its engine.

use super::connection::{ConnectionTask, PartialResult};
use super::wire::{self, InvalidReply, MAX_PAGES, Reply, ReplyKind};
use crate::engine::MAX_RESULT_BYTES;
use crate::message::{AttemptEvent, AttemptId, AttemptResult, Rows};
use bytes::Bytes;
use reedwalk_scheduler::{Outcome, ProgressReport};
use std::collections::BTreeMap;

/// Whether a reply shows that the engine has begun to run the query.
fn shows_begun_query(reply: &Reply) -> bool {
    match reply.kind {
        ReplyKind::Ok => true,
        ReplyKind::Progress => {
            matches!(reply.progress, Some(ProgressReport::FractionDone(_) | ProgressReport::Spilling(_)))
        }
        _ => false,
    }
}

impl ConnectionTask {
    /// Processes an array that was read. Arrays whose trace id belongs to no attempt are ignored, whatever their
    /// content. After an error, the attempt has been ended and the connection must be closed: the reply is invalid.
    pub(super) async fn on_array(&mut self, strings: Vec<Bytes>) -> Result<(), InvalidReply> {
        let Some(trace_id) = strings.first().filter(|id| self.attempts.contains_key(*id)).cloned() else {
            return Ok(());
        };
        match wire::read_reply(strings) {
            Ok(reply) => self.on_reply(reply).await,
            Err(error) => self.end_with_invalid_reply(&trace_id, error.0).await,
        }
    }

    async fn on_reply(&mut self, reply: Reply) -> Result<(), InvalidReply> {
        let trace_id = reply.trace_id.clone();
        let Some(attempt) = self.attempts.get_mut(&trace_id) else { return Ok(()) };
        attempt.has_begun |= shows_begun_query(&reply);
        let (id, has_begun) = (attempt.id, attempt.has_begun);
        let has_first_reply = attempt.partial_result.is_some();
        match reply.kind {
            ReplyKind::Progress => {
                if let Some(progress) = reply.progress {
                    self.report(id, AttemptEvent::Progress(progress)).await;
                }
                Ok(())
            }
            // Contradicts an earlier reply, so it does not prove that the query never ran.
            ReplyKind::Rejected | ReplyKind::Expired if has_begun => {
                self.end_failed(&trace_id, Outcome::Error, &reply).await
            }
            ReplyKind::Rejected => self.end_failed(&trace_id, Outcome::Rejected, &reply).await,
            ReplyKind::Expired => self.end_failed(&trace_id, Outcome::NeverSent, &reply).await,
            ReplyKind::Error => self.end_failed(&trace_id, Outcome::Error, &reply).await,
            ReplyKind::Ok if !has_first_reply => self.on_first_reply(id, trace_id, reply).await,
            ReplyKind::Page if has_first_reply => self.on_page(&trace_id, reply).await,
            // A heartbeat, a page that precedes the first reply, or a duplicate of the first reply.
            ReplyKind::Heartbeat | ReplyKind::Page | ReplyKind::Ok => Ok(()),
        }
    }

    async fn end_failed(
        &mut self,
        trace_id: &Bytes,
        outcome: Outcome,
        reply: &Reply,
    ) -> Result<(), InvalidReply> {
        let load = reply.load;
        self.end_attempt(trace_id, AttemptResult { outcome, usage: None, load, rows: None }).await;
        Ok(())
    }

    /// Stores the first reply of a successful attempt and requests the remaining pages of its result.
    async fn on_first_reply(
        &mut self,
        id: AttemptId,
        trace_id: Bytes,
        reply: Reply,
    ) -> Result<(), InvalidReply> {
        let page_count = reply.pages;
        if page_count > MAX_PAGES {
            return self.end_with_invalid_reply(&trace_id, "too many pages").await;
        }
        let pages = BTreeMap::from([(0, reply.body.clone())]);
        if let Some(attempt) = self.attempts.get_mut(&trace_id) {
            attempt.partial_result = Some(Box::new(PartialResult { first_reply: reply, pages }));
        }
        for page in 1..page_count {
            self.write_queue.push_command(id, &[b"SCROLL", &trace_id, page.to_string().as_bytes()]);
        }
        self.end_if_complete(&trace_id).await
    }

    async fn on_page(&mut self, trace_id: &Bytes, reply: Reply) -> Result<(), InvalidReply> {
        let attempt = self.attempts.get_mut(trace_id);
        let Some(result) = attempt.and_then(|attempt| attempt.partial_result.as_mut()) else { return Ok(()) };
        if !(1..result.first_reply.pages).contains(&reply.page) {
            return self.end_with_invalid_reply(trace_id, "page number is out of range").await;
        }
        result.pages.entry(reply.page).or_insert(reply.body);
        self.end_if_complete(trace_id).await
    }

    /// Ends an attempt whose reply is invalid.
    async fn end_with_invalid_reply(
        &mut self,
        trace_id: &Bytes,
        reason: &'static str,
    ) -> Result<(), InvalidReply> {
        self.end_attempt(trace_id, Outcome::Reset.into()).await;
        Err(InvalidReply(reason))
    }

    /// Ends an attempt if all pages of its result have been received.
    async fn end_if_complete(&mut self, trace_id: &Bytes) -> Result<(), InvalidReply> {
        let Some(attempt) = self.attempts.get(trace_id) else { return Ok(()) };
        let (id, Some(result)) = (attempt.id, attempt.partial_result.as_ref()) else { return Ok(()) };
        let PartialResult { first_reply, pages } = &**result;
        if pages.values().map(Bytes::len).sum::<usize>() > MAX_RESULT_BYTES {
            return self.end_with_invalid_reply(trace_id, "result is too large").await;
        }
        if pages.len() < first_reply.pages as usize {
            return Ok(());
        }
        let mut rows = Rows::default();
        if !pages.values().all(|page| wire::read_page(page, &mut rows).is_ok()) {
            return self.end_with_invalid_reply(trace_id, "page with an incomplete row").await;
        }
        let (outcome, usage, load) = (Outcome::Ok, first_reply.usage, first_reply.load);
        if first_reply.pages > 1 {
            self.write_queue.push_command(id, &[b"DISCARD", trace_id]);
        }
        self.end_attempt(trace_id, AttemptResult { outcome, usage, load, rows: Some(rows) }).await;
        Ok(())
    }
}
