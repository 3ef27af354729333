//! Stand-ins for the cases of the second independent review, and what the cases share. The standard library alone.

pub mod case;
pub mod client;
pub mod config;
pub mod engine;
pub mod gateway;
pub mod name_server;
pub mod record;
