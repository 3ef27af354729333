//! Listening sockets, and the name prefix of the files that the processes of a gateway share.

use super::ServeError;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Length of the listen backlog, in connections.
const BACKLOG: u32 = 1024;
/// Maximum number of characters of the gateway's name in its file names.
const MAX_NAME_CHARACTERS: usize = 40;

/// Whether another process of this gateway may listen at the same address, as during a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressUse {
    /// No other process may listen at the address.
    Exclusive,
    /// Other processes may listen at the address (SO_REUSEPORT).
    Shared,
}

/// Listens on an address. Returns the bound address, in which port 0 is replaced by the port that the system chose.
pub(super) fn listen(
    address: SocketAddr,
    address_use: AddressUse,
) -> Result<(TcpListener, SocketAddr), ServeError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        if address_use == AddressUse::Shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = open().map_err(|error| ServeError::Io("listen", error))?;
    let address = listener.local_addr().map_err(|error| ServeError::Io("listen", error))?;
    Ok((listener, address))
}

/// The name prefix of this gateway's files: the same for all of its processes, and different from other gateways'.
pub(super) fn file_stem(name: &str, listen: SocketAddr) -> String {
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).take(MAX_NAME_CHARACTERS).collect();
    format!("reedwalk-{name}-{}-{}", listen.ip(), listen.port()).replace(':', "_")
}
