//! Gossip between gateways: UDP I/O for the `reedwalk-gossip` crate, which implements the protocol. Gossip is enabled in
//! the operator's file. Where the settings forbid it, no socket is opened.

mod keys;
mod task;

pub use task::{GossipContext, GossipTask, MAX_PENDING_OUTLIERS};

use crate::config::Config;
use crate::operator::error::{OperatorFileError, OperatorFileErrorKind};
use keys::read_keys;
use reedwalk_gossip::{PeerId, SigningKeys};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Default limit of a gateway's gossip traffic, in bytes sent per second.
pub const DEFAULT_MAX_BYTES_PER_SECOND: u32 = 8 * 1024;

/// One gateway of the gossip group, as listed in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMember {
    /// The gateway's name.
    pub name: String,
    /// The address at which the other gateways reach it.
    pub address: SocketAddr,
}

/// A signing key file configured in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Line of the `key` setting in the operator's file.
    pub line: usize,
}

/// Gossip settings of the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipOptions {
    /// Line of the `peers` block.
    pub line: usize,
    /// Address to listen on; defaults to `peer_listen` of the configuration, then to this gateway's address in `members`.
    pub listen: Option<SocketAddr>,
    /// All gateways, indexed by peer id; defaults to `peers` of the configuration.
    pub members: Vec<GossipMember>,
    /// Signing key files; outgoing datagrams are signed with the first key.
    pub key_files: Vec<KeyFile>,
    /// Maximum number of bytes sent per second.
    pub max_bytes_per_second: u32,
    /// Whether heartbeats are sent.
    pub heartbeats: bool,
}

/// The resolved gossip group from the point of view of this gateway.
#[derive(Clone, Debug)]
pub struct GossipGroup {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Addresses of all gateways, this one included, indexed by peer id.
    pub addresses: Vec<SocketAddr>,
    /// Peer id of this gateway.
    pub own_id: PeerId,
    key_files: Vec<KeyFile>,
    keys: SigningKeys,
    max_bytes_per_second: u32,
    heartbeats: bool,
}

/// Resolves the gossip group from the operator's file and the configuration; `None` if the settings forbid gossip.
///
/// # Errors
/// If the group is invalid or a key file can't be used; the error gives the line in the operator's file.
pub fn resolve_group(
    options: &GossipOptions,
    config: &Config,
) -> Result<Option<GossipGroup>, OperatorFileError> {
    if config.deployment.sockets.may_gossip == Some(false) {
        return Ok(None);
    }
    let error = |kind| OperatorFileError { line: options.line, kind };
    let (addresses, own_index) = resolve_addresses(options, config).map_err(error)?;
    if addresses.is_empty() {
        return Err(error(OperatorFileErrorKind::NoMembers));
    }
    let gateways = config.deployment.scheduler.gateways as usize;
    if addresses.len() != gateways || own_index >= gateways {
        let (listed, expected) = (addresses.len(), gateways);
        return Err(error(OperatorFileErrorKind::MemberCountMismatch { listed, expected }));
    }
    let own_address = (!options.members.is_empty()).then(|| addresses[own_index]);
    let listen = options.listen.or(config.peer_listen).or(own_address);
    let listen = listen.ok_or_else(|| error(OperatorFileErrorKind::NoListenAddress))?;
    Ok(Some(GossipGroup {
        listen,
        addresses,
        own_id: own_index as PeerId,
        key_files: options.key_files.clone(),
        keys: read_keys(&options.key_files)?,
        max_bytes_per_second: options.max_bytes_per_second,
        heartbeats: options.heartbeats,
    }))
}

/// The addresses of all gateways, and the index of this gateway among them.
fn resolve_addresses(
    options: &GossipOptions,
    config: &Config,
) -> Result<(Vec<SocketAddr>, usize), OperatorFileErrorKind> {
    if options.members.is_empty() {
        return Ok((config.peers.clone(), config.deployment.scheduler.ordinal as usize));
    }
    let own_index = options.members.iter().position(|member| member.name == config.name);
    let own_index = own_index.ok_or_else(|| OperatorFileErrorKind::GatewayNotListed(config.name.clone()))?;
    Ok((options.members.iter().map(|member| member.address).collect(), own_index))
}

impl GossipGroup {
    /// Describes whether datagrams are signed, for logs and `check-config`.
    pub fn describe_signing(&self) -> &'static str {
        match self.key_files.len() {
            0 => "not signed",
            1 => "signed",
            _ => "signed, key rotation in progress",
        }
    }

    /// Maximum number of bytes sent per second.
    pub fn max_bytes_per_second(&self) -> u32 {
        self.max_bytes_per_second
    }
}
