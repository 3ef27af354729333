//! Fronts: where clients connect.

pub mod mysql;
