//! Fronts: where clients connect.

pub mod flight;
pub mod mysql;
