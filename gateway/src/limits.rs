//! Resource limits of the process.

use serde::Deserialize;

/// The resources that the platform allows the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// CPU cores; may be a fraction.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { cores: 1.0, memory_mb: 192.0, sockets: 1024 }
    }
}
