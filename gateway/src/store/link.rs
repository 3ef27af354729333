//! The way to a Redis in which front ends share facts. What a request waits for is asked with an instant by which the
//! answer must be there; all else goes through a bounded line, off the path of requests. What the store is worth at a
//! moment is decided in `reedwalk-store`; this carries it out.

use super::unix_ms;
use crate::message::ClaimAnswer;
use bytes::Bytes;
use redis::aio::MultiplexedConnection;
use redis::{Client, Pipeline, RedisError, Script, ScriptInvocation};
use reedwalk_store::beat::{self, Beat};
use reedwalk_store::breaker::{Breaker, Fault, Health};
use reedwalk_store::codec;
use reedwalk_store::keyed::{Claimed, Close, Holder, LEASE, Prior, Sent, Stage};
use reedwalk_store::outbox::Outbox;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Writes that wait at most, and how many go out together.
const WAITING_MOST: usize = 1024;
const TOGETHER: usize = 64;
/// What is written off the path of requests may take so long.
const WRITTEN_BY: Duration = Duration::from_millis(100);
/// How often leases are renewed.
const RENEW_EVERY: Duration = Duration::from_millis(300);
/// A front end's count outlives it by this.
const COUNT_KEPT: Duration = Duration::from_secs(60);

/// Takes a key that nobody works on. Answers: taken, how long another has it, the stage, value and count found there.
const CLAIM: &str = "\
-- reedwalk claim 1
local s, h, v = unpack(redis.call('HMGET', KEYS[1], 's', 'h', 'v'))
local left = redis.call('PTTL', KEYS[2])
local count = redis.call('GET', KEYS[3])
if s == 'd' or (h and h ~= '' and left > 0) then return {0, left, s, v, count} end
local stage = s
if not s then stage = ARGV[5] elseif s == 'n' then stage = 'c' end
redis.call('HSET', KEYS[1], 'h', ARGV[1], 's', stage)
redis.call('PEXPIRE', KEYS[1], stage == 's' and ARGV[4] or ARGV[3])
redis.call('SET', KEYS[2], ARGV[1], 'PX', ARGV[2])
return {1, 0, s, v, count}";

/// Writes a stage and a value, each where it is not empty, as the key's holder; and lets the key go if told to.
const WRITE: &str = "\
-- reedwalk write 1
if redis.call('HGET', KEYS[1], 'h') ~= ARGV[1] then return 0 end
if ARGV[2] ~= '' then redis.call('HSET', KEYS[1], 's', ARGV[2]) end
if ARGV[3] ~= '' then redis.call('HSET', KEYS[1], 'v', ARGV[3]) end
if ARGV[4] ~= '0' then redis.call('PEXPIRE', KEYS[1], ARGV[4]) end
if ARGV[5] == '1' then redis.call('HSET', KEYS[1], 'h', ''); redis.call('DEL', KEYS[2]) end
return 1";

/// Renews the lease, as the key's holder.
const RENEW: &str = "\
-- reedwalk renew 1
if redis.call('HGET', KEYS[1], 'h') ~= ARGV[1] then return 0 end
redis.call('SET', KEYS[2], ARGV[1], 'PX', ARGV[2])
return 1";

/// Takes units of a budget, as many as are left of those wanted; its answer is how many.
const LEASE_UNITS: &str = "\
-- reedwalk lease 1
local left = tonumber(ARGV[2]) - tonumber(redis.call('GET', KEYS[1]) or '0')
local units = math.max(0, math.min(tonumber(ARGV[1]), left))
if units > 0 then
  redis.call('INCRBY', KEYS[1], units)
  redis.call('PEXPIREAT', KEYS[1], ARGV[3])
end
return units";

/// What an operator says of the shared store beside its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The first part of all keys.
    pub namespace: String,
    /// By how much the clocks of front ends may differ.
    pub clocks_differ: Duration,
    /// How long a request waits for one answer.
    pub wait: Duration,
    /// The keys of requests are shared there, too.
    pub share_keys: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            namespace: "reedwalk".into(),
            clocks_differ: Duration::from_millis(500),
            wait: Duration::from_millis(25),
            share_keys: false,
        }
    }
}

/// A key as it stands in the store.
pub type Key = Bytes;

#[derive(Debug)]
enum Op {
    Close { key: Key, holder: Holder, window: Duration, close: Close },
    Renew { key: Key, holder: Holder },
}

#[derive(Debug)]
struct State {
    breaker: Breaker,
    beat: Beat,
    outbox: Outbox<Op>,
    /// Keys that are ours, to be renewed.
    held: HashMap<Holder, Key>,
    claims: u64,
    unread: u64,
    told: (u64, u64),
}

/// The link; one for a front end process.
#[derive(Debug)]
pub struct Link {
    client: Client,
    connection: tokio::sync::Mutex<Option<MultiplexedConnection>>,
    scripts: [Script; 4],
    state: Mutex<State>,
    written: Notify,
    front: u64,
    terms: Terms,
    log: Logger,
}

impl Link {
    /// A link to the Redis at this URL. `front` names this process and no other; facts live as long as `window`.
    ///
    /// # Errors
    /// Where it is no URL of a Redis.
    pub fn new(
        url: &str,
        terms: Terms,
        front: u64,
        window: Duration,
        log: Logger,
    ) -> Result<Self, RedisError> {
        let state = State {
            breaker: Breaker::new(front),
            beat: Beat::new(window, Instant::now().into_std()),
            outbox: Outbox::new(WAITING_MOST),
            held: HashMap::new(),
            claims: 0,
            unread: 0,
            told: (0, 0),
        };
        Ok(Self {
            client: Client::open(url)?,
            connection: tokio::sync::Mutex::new(None),
            scripts: [CLAIM, WRITE, RENEW, LEASE_UNITS].map(Script::new),
            state: Mutex::new(state),
            written: Notify::new(),
            front,
            terms,
            log,
        })
    }

    /// What the operator has said.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// May it be asked now, for an answer by `by`?
    pub fn usable(&self, now: Instant, by: Instant) -> bool {
        self.state().breaker.may_ask(now.into_std(), by.into_std())
    }

    /// How the store is.
    pub fn health(&self) -> Health {
        self.state().breaker.health()
    }

    /// A name for a claim that is given once.
    pub fn holder(&self) -> Holder {
        let mut state = self.state();
        state.claims += 1;
        Holder { front: self.front, claim: state.claims }
    }

    fn lease_of(key: &[u8]) -> Vec<u8> {
        [key, b":lease"].concat()
    }

    fn count_key(&self) -> String {
        format!("{}:1:count:{:016x}", self.terms.namespace, self.front)
    }

    /// Where a request's key stands.
    pub fn key(&self, class: &str, nonce: &[u8]) -> Key {
        [format!("{}:1:key:{class}:", self.terms.namespace).as_bytes(), nonce].concat().into()
    }

    /// Claims a key; none where there is no answer by `by`. With it comes whether a word that nothing was sent may be
    /// believed.
    pub async fn claim(
        &self,
        key: &Key,
        holder: Holder,
        again: bool,
        window: Duration,
        by: Instant,
    ) -> Option<ClaimAnswer> {
        let stage = if again { Stage::Unknown } else { Stage::Claimed };
        let mut call = self.scripts[0].prepare_invoke();
        call.key(&key[..]).key(Self::lease_of(key)).key(self.count_key());
        call.arg(holder.to_string()).arg(millis(LEASE)).arg(millis(window)).arg(millis(window * 2));
        call.arg(stage.letter());
        type Found = (i64, i64, Option<Vec<u8>>, Option<Vec<u8>>, Option<u64>);
        let (taken, left, stage, value, count): Found = self.ask(&call, by).await?;
        let (prior, trusted) = (prior(stage, value), self.looked(count));
        let mut state = self.state();
        state.unread += u64::from(prior == Prior::Unreadable);
        if taken == 1 {
            state.held.insert(holder, key.clone());
        }
        drop(state);
        let lease_left = Duration::from_millis(left.max(0) as u64);
        let claimed = Claimed { taken: taken == 1, lease_left, prior };
        Some(ClaimAnswer { claimed, trusted })
    }

    /// Has seen its own count there; whether a word that nothing was sent may be believed.
    fn looked(&self, count: Option<u64>) -> bool {
        let (mut state, now) = (self.state(), Instant::now().into_std());
        let before = state.beat.trusts(now);
        state.beat.read(count, now);
        let trusted = state.beat.trusts(now);
        drop(state);
        if before && !trusted {
            warn!(self.log, "shared store"; "state" => "stale", "count" => ?count);
        }
        trusted
    }

    /// Writes where the key's holder sends; none where there is no answer by `by`.
    pub async fn mark(
        &self,
        key: &Key,
        holder: Holder,
        sent: Sent,
        window: Duration,
        by: Instant,
    ) -> Option<bool> {
        let value = codec::encode(&sent)?;
        let call = self.write(key, holder, Some(Stage::Sent), &value, window * 2, false);
        let written: i64 = self.ask(&call, by).await?;
        Some(written == 1)
    }

    fn write<'a>(
        &'a self,
        key: &Key,
        holder: Holder,
        stage: Option<Stage>,
        value: &[u8],
        kept: Duration,
        go: bool,
    ) -> ScriptInvocation<'a> {
        let mut call = self.scripts[1].prepare_invoke();
        call.key(&key[..]).key(Self::lease_of(key)).arg(holder.to_string());
        call.arg(stage.map_or("", Stage::letter)).arg(value).arg(millis(kept)).arg(u8::from(go));
        call
    }

    /// Where a budget's units of a window are counted.
    pub fn budget(&self, team: &str, window_ms: u64, window: u64) -> String {
        format!("{}:1:budget:{team}:{window_ms}:{window}", self.terms.namespace)
    }

    /// Leases units of a budget: as many as are left of those wanted. None where there is no answer by `by`.
    pub async fn lease(
        &self,
        budget: &str,
        wanted: u64,
        most: u64,
        expires_ms: u64,
        by: Instant,
    ) -> Option<u64> {
        let mut call = self.scripts[3].prepare_invoke();
        call.key(budget).arg(wanted).arg(most).arg(expires_ms);
        self.ask(&call, by).await
    }

    /// Gives units back, or leaves it where the store does not take them by `by`.
    pub async fn give_back(&self, budget: &str, units: u64, by: Instant) {
        let asked = async {
            let mut connection = self.connection().await?;
            redis::cmd("DECRBY").arg(budget).arg(units).query_async::<i64>(&mut connection).await
        };
        let _ = self.learn(asked, by).await;
    }

    /// Writes the end of a request, some time soon.
    pub fn close(&self, key: Key, holder: Holder, window: Duration, close: Close) {
        let mut state = self.state();
        state.held.remove(&holder);
        state.outbox.push(Op::Close { key, holder, window, close });
        drop(state);
        self.written.notify_one();
    }

    /// A request whose key was not taken, or of which nobody knows whether it was, is over.
    pub fn forget(&self, holder: Holder) {
        self.state().held.remove(&holder);
    }

    async fn connection(&self) -> Result<MultiplexedConnection, RedisError> {
        let mut kept = self.connection.lock().await;
        if let Some(connection) = kept.as_ref() {
            return Ok(connection.clone());
        }
        let connection = self.client.get_multiplexed_async_connection().await?;
        *kept = Some(connection.clone());
        Ok(connection)
    }

    /// Asks, and learns from how that ended.
    async fn ask<T: redis::FromRedisValue>(&self, call: &ScriptInvocation<'_>, by: Instant) -> Option<T> {
        let asked = async {
            let mut connection = self.connection().await?;
            call.invoke_async(&mut connection).await
        };
        self.learn(asked, by).await
    }

    async fn learn<T>(&self, asked: impl Future<Output = Result<T, RedisError>>, by: Instant) -> Option<T> {
        let (fault, why) = match timeout_at(by, asked).await {
            Ok(Ok(answer)) => {
                let turned = self.state().breaker.answered();
                self.say(turned, "answers");
                return Some(answer);
            }
            Ok(Err(error)) => (Fault::Gone, error.to_string()),
            Err(_) => (Fault::Slow, "no answer in time".to_owned()),
        };
        // Where the lock is taken, another call is connecting anew already.
        self.connection.try_lock().into_iter().for_each(|mut kept| *kept = None);
        let turned = self.state().breaker.failed(fault, Instant::now().into_std());
        self.say(turned, &why);
        None
    }

    fn say(&self, turned: Option<Health>, why: &str) {
        match turned {
            Some(Health::Well) => info!(self.log, "shared store"; "state" => "well"),
            Some(health) => warn!(self.log, "shared store"; "state" => ?health, "error" => why),
            None => {}
        }
    }

    /// Counts, renews and writes for as long as the program runs.
    pub async fn run(self: Arc<Self>) {
        let (mut beats, mut renews) = (Instant::now(), Instant::now() + RENEW_EVERY);
        loop {
            tokio::select! {
                () = sleep_until(beats.min(renews)) => {}
                () = self.written.notified() => {}
            }
            let now = Instant::now();
            if now >= renews {
                renews = now + RENEW_EVERY;
                let mut state = self.state();
                let held: Vec<_> = state.held.iter().map(|(h, k)| (*h, k.clone())).collect();
                held.into_iter().for_each(|(holder, key)| state.outbox.push(Op::Renew { key, holder }));
            }
            let by = now + WRITTEN_BY;
            if now >= beats {
                beats = now + beat::EVERY;
                // Trials are made here, whether requests come or not, and so the store is found again.
                if self.usable(now, now + self.terms.wait) {
                    self.count(now).await;
                }
            }
            if self.health() == Health::Well {
                self.flush(by).await;
            }
        }
    }

    async fn count(&self, now: Instant) {
        let count = self.state().beat.draw();
        let key = self.count_key();
        let mut pipe = Pipeline::new();
        pipe.atomic().get(&key).cmd("SET").arg(&key).arg(count).arg("PX").arg(millis(COUNT_KEPT)).ignore();
        let asked = async {
            let mut connection = self.connection().await?;
            pipe.query_async::<(Option<u64>,)>(&mut connection).await
        };
        let Some((found,)) = self.learn(asked, now + self.terms.wait).await else { return };
        self.looked(found);
        let mut state = self.state();
        state.beat.confirmed(count, now.into_std());
        let told = (state.unread, state.outbox.dropped());
        if std::mem::replace(&mut state.told, told) != told {
            warn!(self.log, "shared store"; "unreadable" => told.0, "dropped" => told.1);
        }
    }

    /// Writes what waits; what fails is dropped, since whoever comes after finds a lease that ends by itself.
    async fn flush(&self, by: Instant) {
        while Instant::now() < by {
            let ops = self.state().outbox.take(TOGETHER);
            if ops.is_empty() {
                return;
            }
            let calls: Vec<_> = ops.iter().map(|op| self.invocation(op)).collect();
            let all = calls.iter().map(|call| self.ask::<i64>(call, by));
            futures::future::join_all(all).await;
        }
    }

    fn invocation(&self, op: &Op) -> ScriptInvocation<'_> {
        match op {
            Op::Renew { key, holder } => {
                let mut call = self.scripts[2].prepare_invoke();
                call.key(&key[..]).key(Self::lease_of(key)).arg(holder.to_string()).arg(millis(LEASE));
                call
            }
            Op::Close { key, holder, window, close } => {
                let value = match close {
                    Close::Done(answer) => codec::encode(answer),
                    _ => None,
                };
                let (stage, kept) = match close {
                    // An answer too large to be kept is asked for again where it was first.
                    Close::Done(_) if value.is_none() => (None, Duration::ZERO),
                    Close::Done(_) => (Some(Stage::Done), *window * 2),
                    Close::Free(stage) => (Some(*stage), Duration::ZERO),
                    Close::Release => (None, Duration::ZERO),
                };
                self.write(key, *holder, stage, value.as_deref().unwrap_or_default(), kept, true)
            }
        }
    }

    /// What the clock says that others compare with.
    pub fn unix_ms(&self) -> u64 {
        unix_ms()
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// What stood in the store, as far as it can be read.
fn prior(stage: Option<Vec<u8>>, value: Option<Vec<u8>>) -> Prior {
    let Some(stage) = stage else { return Prior::Absent };
    let value = value.unwrap_or_default();
    let read = match Stage::read(&stage) {
        Some(Stage::Sent) => codec::decode(&value).ok().map(Prior::Sent),
        Some(Stage::Done) => codec::decode(&value).ok().map(Prior::Done),
        Some(stage) => Some(Prior::Stage(stage)),
        None => None,
    };
    read.unwrap_or(Prior::Unreadable)
}
