//! Links to the engines.

pub mod resp;
