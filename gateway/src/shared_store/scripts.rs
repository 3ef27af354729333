//! Lua scripts that Redis executes atomically. Their text is part of the stored format: Redis identifies a script by
//! its hash, so gateways of different versions share identical scripts.

use redis::{Script, ScriptInvocation};
use reedwalk_shared_store::idempotency::{CLAIM_LEASE, ClaimHolder, Stage};
use std::time::Duration;

/// Claims a key that has no holder. Returns 1 if claimed and 0 if not, the remaining milliseconds of another holder's
/// lease, and the stored stage, value and heartbeat.
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

/// Writes the stage and the value, if not empty, as the holder of a key; optionally releases the key.
const WRITE: &str = "\
-- reedwalk write 1
if redis.call('HGET', KEYS[1], 'h') ~= ARGV[1] then return 0 end
if ARGV[2] ~= '' then redis.call('HSET', KEYS[1], 's', ARGV[2]) end
if ARGV[3] ~= '' then redis.call('HSET', KEYS[1], 'v', ARGV[3]) end
if ARGV[4] ~= '0' then redis.call('PEXPIRE', KEYS[1], ARGV[4]) end
if ARGV[5] == '1' then redis.call('HSET', KEYS[1], 'h', ''); redis.call('DEL', KEYS[2]) end
return 1";

/// Renews the lease as the holder of a key.
const RENEW: &str = "\
-- reedwalk renew 1
if redis.call('HGET', KEYS[1], 'h') ~= ARGV[1] then return 0 end
redis.call('SET', KEYS[2], ARGV[1], 'PX', ARGV[2])
return 1";

/// Leases up to the wanted number of units of a quota, as many as remain. Returns the number leased.
const LEASE_QUOTA: &str = "\
-- reedwalk lease 1
local left = tonumber(ARGV[2]) - tonumber(redis.call('GET', KEYS[1]) or '0')
local units = math.max(0, math.min(tonumber(ARGV[1]), left))
if units > 0 then
  redis.call('INCRBY', KEYS[1], units)
  redis.call('PEXPIREAT', KEYS[1], ARGV[3])
end
return units";

/// The prepared scripts.
#[derive(Debug)]
pub(super) struct Scripts {
    claim: Script,
    write: Script,
    renew: Script,
    lease_quota: Script,
}

/// The arguments of [`Scripts::write`].
pub(super) struct KeyWrite<'a> {
    /// `None` leaves the stage unchanged.
    pub(super) stage: Option<Stage>,
    /// An empty value leaves the stored one unchanged.
    pub(super) value: &'a [u8],
    /// Time until the key expires; zero leaves the expiry unchanged.
    pub(super) ttl: Duration,
    /// Whether to end the holder's claim.
    pub(super) release: bool,
}

impl Scripts {
    pub(super) fn new() -> Self {
        Self {
            claim: Script::new(CLAIM),
            write: Script::new(WRITE),
            renew: Script::new(RENEW),
            lease_quota: Script::new(LEASE_QUOTA),
        }
    }

    /// Claims `key` for `holder`, with `stage` for a new key. The key expires after `window`, or after twice as long if
    /// its request has been sent.
    pub(super) fn claim(
        &self,
        key: &[u8],
        heartbeat_key: &str,
        holder: ClaimHolder,
        stage: Stage,
        window: Duration,
    ) -> ScriptInvocation<'_> {
        let mut call = self.claim.prepare_invoke();
        call.key(key).key(lease_key(key)).key(heartbeat_key);
        call.arg(holder.to_string()).arg(millis(CLAIM_LEASE)).arg(millis(window)).arg(millis(window * 2));
        call.arg(stage.code());
        call
    }

    /// Writes to `key` as its holder.
    pub(super) fn write(
        &self,
        key: &[u8],
        holder: ClaimHolder,
        write: &KeyWrite<'_>,
    ) -> ScriptInvocation<'_> {
        let mut call = self.write.prepare_invoke();
        call.key(key).key(lease_key(key)).arg(holder.to_string());
        call.arg(write.stage.map_or("", Stage::code)).arg(write.value).arg(millis(write.ttl));
        call.arg(u8::from(write.release));
        call
    }

    /// Renews the lease of `key` as its holder.
    pub(super) fn renew(&self, key: &[u8], holder: ClaimHolder) -> ScriptInvocation<'_> {
        let mut call = self.renew.prepare_invoke();
        call.key(key).key(lease_key(key)).arg(holder.to_string()).arg(millis(CLAIM_LEASE));
        call
    }

    /// Leases up to `wanted` units of the quota `key`, which has `budget` units and expires at the Unix time
    /// `expires_ms`.
    pub(super) fn lease_quota(
        &self,
        key: &str,
        wanted: u64,
        budget: u64,
        expires_ms: u64,
    ) -> ScriptInvocation<'_> {
        let mut call = self.lease_quota.prepare_invoke();
        call.key(key).arg(wanted).arg(budget).arg(expires_ms);
        call
    }
}

/// The store's key for the lease on `key`.
fn lease_key(key: &[u8]) -> Vec<u8> {
    [key, b":lease"].concat()
}

pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
