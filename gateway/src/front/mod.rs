//! The fronts: the protocols that clients connect with.

/// Estimates beyond these are none, on either front: a thousand hours of work in milliseconds, and a petabyte of
/// memory in megabytes.
pub const MAX_WORK_MS: f64 = 3.6e9;
/// See [`MAX_WORK_MS`].
pub const MAX_MEMORY_MB: f64 = 1e9;

pub mod flight;
pub mod mysql;
pub mod sql;

use tokio::net::{TcpListener, TcpStream};

/// The connections that the system has accepted for a listener that closes; dropped with the listener they would be reset.
fn accepted_already(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    let next = move || Some(listener.as_ref()?.accept().ok()?.0);
    std::iter::from_fn(next).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
