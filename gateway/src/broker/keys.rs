//! Keyed requests beside a store that front ends share. What one may do is decided in `reedwalk-store`; here stands
//! which request is how far, and what is asked of the store for it. Nothing here waits: answers come through the
//! broker's queue.

use super::groups::Groups;
use super::message::{Ask, Input, Order, Rows};
use crate::store::link::{Key, Link};
use bytes::Bytes;
use reedwalk_core::{Effect, EngineEntry, KeyScope, RequestId};
use reedwalk_settings::Deployment;
use reedwalk_store::codec::VALUE_MOST;
use reedwalk_store::keyed::{Claimed, Close, Ending, Holder, Keyed, Scope, Send, Sent, Step};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Bytes of a client's key that are shared at most; a longer one goes by its class's own rules.
const NONCE_MOST: usize = 128;

struct Entry {
    keyed: Keyed,
    key: Key,
    holder: Holder,
    window: Duration,
    scope: KeyScope,
    /// The store has been asked and has not answered yet.
    asked: bool,
}

/// The keyed requests that are open.
pub(super) struct Keys {
    link: Arc<Link>,
    classes: Vec<(String, Option<(KeyScope, Duration)>)>,
    groups: Groups,
    open: HashMap<RequestId, Entry>,
    /// Requests that were over before the answer to their claim came.
    gone: HashMap<RequestId, Entry>,
    /// Attempts that go out once their mark is written.
    marking: HashMap<super::AttemptKey, Order>,
    queue: mpsc::Sender<Input>,
}

impl Keys {
    pub(super) fn new(link: Arc<Link>, deployment: &Deployment, queue: mpsc::Sender<Input>) -> Self {
        let names = deployment.sockets.classes.iter().cloned();
        let effects = deployment.core.classes.iter().map(|c| match c.effect {
            Effect::Keyed { scope, memory } => Some((scope, memory)),
            _ => None,
        });
        let classes = names.zip(effects).collect();
        Self {
            link,
            classes,
            groups: Groups::default(),
            open: HashMap::new(),
            gone: HashMap::new(),
            marking: HashMap::new(),
            queue,
        }
    }

    /// Takes in what the list says of engines.
    pub(super) fn engines(&mut self, entries: &[EngineEntry]) {
        self.groups.take(entries);
    }

    /// A request that has come; what it does first. A claim is on its way when it is to wait for one.
    pub(super) fn arrive(&mut self, id: RequestId, ask: &Ask, now: Instant) -> Step {
        let (Some(nonce), Some((class, Some((scope, window))))) = (&ask.nonce, self.classes.get(ask.class.0))
        else {
            return Step::Go(None);
        };
        let (scope, window, by) = (*scope, *window, now + self.link.terms().wait);
        let narrow = if scope == KeyScope::All { Scope::All } else { Scope::Group };
        let mut keyed = Keyed::new(narrow, ask.repeated, window, self.link.terms().clocks_differ);
        let step = keyed.arrive(nonce.len() <= NONCE_MOST && self.link.usable(now, by));
        let (key, holder) = (self.link.key(class, nonce), self.link.holder());
        if step == Step::Claim {
            let (link, queue, key, again) =
                (self.link.clone(), self.queue.clone(), key.clone(), ask.repeated);
            tokio::spawn(async move {
                let found = link.claim(&key, holder, again, window, by).await;
                let _ = queue.send(Input::Claimed(id, found)).await;
            });
        }
        let asked = step == Step::Claim;
        self.open.insert(id, Entry { keyed, key, holder, window, scope, asked });
        step
    }

    /// The store's answer to a claim; nothing where the request is over.
    pub(super) fn claimed(&mut self, id: RequestId, found: Option<(Claimed, bool)>) -> Option<Step> {
        if let Some(entry) = self.gone.remove(&id) {
            // Nothing was sent: who comes next finds what stood there.
            self.link.close(entry.key, entry.holder, entry.window, Close::Release);
        }
        let entry = self.open.get_mut(&id)?;
        entry.asked = false;
        let trusted = found.as_ref().is_some_and(|f| f.1);
        let (step, close) = entry.keyed.claimed(found.map(|f| f.0), trusted, self.link.unix_ms());
        if let Some(close) = close {
            self.link.close(entry.key.clone(), entry.holder, entry.window, close);
        }
        Some(step)
    }

    /// An attempt that the module wants sent; `None` where it may not be. What has to be marked first is kept, and
    /// the order comes back with the answer.
    pub(super) fn send(&mut self, id: RequestId, order: Order, now: Instant) -> Option<Option<Order>> {
        let Some(entry) = self.open.get_mut(&id) else { return Some(Some(order)) };
        let group = self.groups.of(order.engine, entry.scope);
        // Of an engine in no group nobody knows whose repeats it drops.
        match entry.keyed.send(group.unwrap_or(u64::MAX), self.link.unix_ms()) {
            Send::Now => Some(Some(order)),
            Send::Never => None,
            Send::Mark(sent) => {
                let (link, queue, key) = (self.link.clone(), self.queue.clone(), entry.key.clone());
                let (holder, window, attempt) = (entry.holder, entry.window, order.key);
                let by = now + self.link.terms().wait;
                self.marking.insert(attempt, order);
                tokio::spawn(async move {
                    let usable = link.usable(Instant::now(), by);
                    let written = if usable { link.mark(&key, holder, sent, window, by).await } else { None };
                    let _ = queue.send(Input::Marked(attempt, sent, written)).await;
                });
                Some(None)
            }
        }
    }

    /// A mark was written, or not: the order that may go now. `None` where it may not, or is over.
    pub(super) fn marked(
        &mut self,
        id: RequestId,
        attempt: super::AttemptKey,
        sent: Sent,
        written: Option<bool>,
    ) -> Option<Order> {
        let order = self.marking.remove(&attempt)?;
        let verdict = self.open.get_mut(&id)?.keyed.marked(sent, written);
        (verdict == Send::Now).then_some(order)
    }

    /// An attempt has ended, `ran` where it may have run.
    pub(super) fn ended(&mut self, id: RequestId, attempt: super::AttemptKey, ran: bool) {
        // One whose mark was still on its way has gone nowhere.
        let ran = self.marking.remove(&attempt).is_none() && ran;
        if let Some(entry) = self.open.get_mut(&id) {
            entry.keyed.ended(ran);
        }
    }

    /// Is a further try of a request that has failed harmless? Only where nothing of it can have run.
    pub(super) fn harmless(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|e| !e.keyed.may_have_run())
    }

    /// The request is over: served with these rows, or not.
    pub(super) fn over(&mut self, id: RequestId, rows: Option<&Rows>) {
        let Some(mut entry) = self.open.remove(&id) else { return };
        let ending = rows.map_or(Ending::Unserved, |rows| Ending::Served(pack(rows)));
        match entry.keyed.over(ending) {
            Some(close) => self.link.close(entry.key, entry.holder, entry.window, close),
            None if entry.asked => _ = self.gone.insert(id, entry),
            None => self.link.forget(entry.holder),
        }
    }
}

/// Bytes of a result that is kept: a value without its head.
const ANSWER_MOST: usize = VALUE_MOST - 64;

/// A result as it is kept, where it is small enough.
type Packed = (usize, Vec<String>, Vec<Option<Vec<u8>>>, Option<i64>);

fn pack(rows: &Rows) -> Option<Vec<u8>> {
    let size: usize = rows.cells.iter().flatten().map(Bytes::len).sum();
    if size > ANSWER_MOST {
        return None;
    }
    let cells = rows.cells.iter().map(|c| c.as_ref().map(|c| c.to_vec())).collect();
    let packed: Packed = (rows.columns, rows.names.clone(), cells, rows.changed);
    postcard::to_allocvec(&packed).ok().filter(|bytes| bytes.len() <= ANSWER_MOST)
}

/// The result that was kept.
pub(super) fn unpack(bytes: &[u8]) -> Option<Rows> {
    let (columns, names, cells, changed): Packed = postcard::from_bytes(bytes).ok()?;
    let cells = cells.into_iter().map(|c| c.map(Bytes::from)).collect();
    Some(Rows { columns, names, cells, changed, ..Rows::default() })
}

#[cfg(test)]
mod tests;
