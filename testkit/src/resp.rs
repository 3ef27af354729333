//! Engines on RESP for tests, written from the protocol's documentation: one follows a script, and the other simulates its
//! cores with [`crate::model`].

mod modelled;
mod scripted;

pub use modelled::{EngineBehavior, ModelledEngine, start_modelled_engine};
pub use scripted::start_engine;
