//! The Redis store that gateways share for idempotency keys and quota leases.

mod background;
pub mod client;
mod connection;
mod options;
mod scripts;

pub use options::SharedStoreOptions;
