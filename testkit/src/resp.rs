//! Engines on RESP for tests, written from the protocol page: one that follows a script, and one after the model.

mod modelled;
mod scripted;

pub use modelled::{EngineBehavior, Modelled, after, modelled};
pub use scripted::engine;
