//! Fronts: where clients connect.

/// Estimates beyond these are none, on either front: a thousand hours of work in milliseconds, and a petabyte of
/// memory in megabytes.
pub const WORK_MOST: f64 = 3.6e9;
/// See [`WORK_MOST`].
pub const MEMORY_MOST: f64 = 1e9;

pub mod flight;
pub mod mysql;

use tokio::net::{TcpListener, TcpStream};

/// What the system has taken for a listener that closes: it is ours, and dropped with the listener it would be reset.
fn accepted_already(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    let next = move || Some(listener.as_ref()?.accept().ok()?.0);
    std::iter::from_fn(next).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
