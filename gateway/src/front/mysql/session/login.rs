//! The start of a session: handshake and login.

use super::{LOGIN_TIMEOUT, Session, SessionEnd};
use crate::front::mysql::packet::{self, ProtocolError, Writer};
use bytes::Bytes;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Largest login packet.
const MAX_LOGIN_BYTES: usize = 4 * 1024;
/// User name of clients without a team.
const DEFAULT_USER: &str = "app";

impl Session<'_> {
    /// Performs the handshake and returns whether the login was accepted.
    pub(super) async fn login(&mut self) -> Result<bool, SessionEnd> {
        let deadline = self.connected_at + LOGIN_TIMEOUT;
        Writer::new(&mut self.output, 0).greeting(self.id, scramble());
        self.flush(deadline).await?;
        let login = packet::read_login(self.read_login(deadline).await?)?;
        let user = std::str::from_utf8(&login.user).unwrap_or_default();
        let quotas = self.front.quotas.as_ref();
        let is_known_user = user == DEFAULT_USER || quotas.is_some_and(|quotas| quotas.has_contract(user));
        self.team = Arc::from(user);
        let is_accepted = login.empty_password && is_known_user;
        let mut writer = Writer::new(&mut self.output, 2);
        if is_accepted {
            writer.ok(0);
        } else {
            writer.error(1045, b"28000", "access denied");
        }
        self.flush(deadline).await?;
        Ok(is_accepted)
    }

    async fn read_login(&mut self, deadline: Instant) -> Result<Bytes, SessionEnd> {
        let evicted = self.slot.evicted.clone();
        loop {
            if packet::payload_size(&self.input, 1)? > MAX_LOGIN_BYTES {
                return Err(ProtocolError("login too large").into());
            }
            if let Some(packet) = packet::take_packet(&mut self.input, 1)? {
                return Ok(packet);
            }
            tokio::select! {
                biased;
                read = timeout_at(deadline, self.read_input()) => {
                    read.map_err(|_| SessionEnd::ClosedByGateway)??;
                }
                () = evicted.notified() => return Err(SessionEnd::Evicted),
            }
        }
    }
}

/// Draws the authentication challenge: 20 printable bytes.
fn scramble() -> [u8; 20] {
    std::array::from_fn(|_| rand::random_range(b'!'..=b'~'))
}
