//! Selects the core for a new connection. Core 0 also runs the broker, so it gets only as many connections as keep it no
//! busier than the other cores.

/// Maximum number of cores that a gateway uses.
pub const MAX_CORES: usize = 64;
/// Fraction of the CPU time of a request that the broker uses on core 0.
const BROKER_CPU_SHARE: f64 = 0.25;

/// The target share of all connections for each core; the shares sum to 1. With `N` cores and a broker that uses the
/// fraction `j` of all CPU time, core 0 gets `max(0, 1/N - j) / (1 - j)`, and the other cores split the rest evenly.
pub fn connection_shares(cores: usize) -> Vec<f64> {
    let cores = cores.clamp(1, MAX_CORES);
    if cores == 1 {
        return vec![1.0];
    }
    // CPU time is split evenly: core 0 serves connections only with what the broker leaves of its part.
    let even_share = 1.0 / cores as f64;
    let broker_core_share = ((even_share - BROKER_CPU_SHARE) / (1.0 - BROKER_CPU_SHARE)).max(0.0);
    let other_core_share = (1.0 - broker_core_share) / (cores - 1) as f64;
    let mut shares = vec![other_core_share; cores];
    shares[0] = broker_core_share;
    shares
}

/// The load of a core.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoreLoad {
    /// The number of its connections.
    pub(crate) connections: usize,
    /// Whether it accepts more.
    pub(crate) accepts: bool,
}

/// The core furthest below its share, among those that accept connections. If none accepts, all cores with a share are
/// eligible: a connection on a stalled core may still be served once the core recovers, a refused one is lost.
pub(crate) fn select_core(shares: &[f64], loads: &[CoreLoad]) -> usize {
    let accepting = least_loaded(shares, loads, |load| load.accepts);
    accepting.or_else(|| least_loaded(shares, loads, |_| true)).unwrap_or(0)
}

/// The eligible core with the lowest number of connections relative to its share, counting the new connection.
fn least_loaded(
    shares: &[f64],
    loads: &[CoreLoad],
    is_eligible: impl Fn(&CoreLoad) -> bool,
) -> Option<usize> {
    let cores = shares.iter().zip(loads).enumerate();
    let eligible = cores.filter(|(_, (share, load))| **share > 0.0 && is_eligible(load));
    let relative_loads =
        eligible.map(|(core, (share, load))| ((load.connections as f64 + 1.0) / share, core));
    // Ties go to the lowest core number.
    let least = relative_loads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    least.map(|(_, core)| core)
}

#[cfg(test)]
mod tests;
