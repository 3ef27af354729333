//! Which core takes a connection. Core 0 runs the broker: it takes only as many connections as leave it no busier than the
//! others.

/// Cores at most.
pub const MAX_CORES: usize = 64;
/// Share of a request's CPU time that the broker takes, on core 0; measured by `make measure-cores`.
const BROKER_CPU_SHARE: f64 = 0.25;

/// The share of all connections that each core should hold; they sum to 1.
pub fn shares(cores: usize) -> Vec<f64> {
    let cores = cores.clamp(1, MAX_CORES);
    if cores == 1 {
        return vec![1.0];
    }
    // All work is split evenly; core 0 takes the share of the connections that the broker's work leaves.
    let even = 1.0 / cores as f64;
    let first = ((even - BROKER_CPU_SHARE) / (1.0 - BROKER_CPU_SHARE)).max(0.0);
    let rest = (1.0 - first) / (cores - 1) as f64;
    std::iter::once(first).chain(std::iter::repeat_n(rest, cores - 1)).collect()
}

/// The core that is furthest below its share, of those that accept connections. Where none does, all with a share count:
/// a connection that waits may still be served, one that is refused is not.
pub(crate) fn pick(shares: &[f64], loads: &[(usize, bool)]) -> usize {
    let least_loaded = |any: bool| {
        let open = shares
            .iter()
            .zip(loads)
            .enumerate()
            .filter(|(_, (share, (_, accepts)))| **share > 0.0 && (*accepts || any));
        let loaded = open.map(|(core, (share, (held, _)))| ((*held as f64 + 1.0) / share, core));
        loaded.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|f| f.1)
    };
    least_loaded(false).or_else(|| least_loaded(true)).unwrap_or(0)
}

#[cfg(test)]
mod tests;
