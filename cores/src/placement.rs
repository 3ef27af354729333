//! Which core takes a connection. Core 0 judges: it takes only as much besides as leaves it no busier than the
//! others.

/// Cores at most.
pub const CORES_MOST: usize = 64;
/// Share of a request's CPU that goes into judging it, on core 0; measured by `make measure-cores`.
const JUDGING: f64 = 0.25;

/// For each core the part of all connections that it is meant to hold; they sum to 1.
pub fn shares(cores: usize) -> Vec<f64> {
    let cores = cores.clamp(1, CORES_MOST);
    if cores == 1 {
        return vec![1.0];
    }
    // All that is done splits evenly; of the rest, core 0 takes what judging leaves of its part.
    let even = 1.0 / cores as f64;
    let first = ((even - JUDGING) / (1.0 - JUDGING)).max(0.0);
    let rest = (1.0 - first) / (cores - 1) as f64;
    std::iter::once(first).chain(std::iter::repeat_n(rest, cores - 1)).collect()
}

/// The core that is furthest below its share, of those that are fit. Where none is, all that are meant to take
/// any count as fit: a connection that waits may still be served, one that is turned away is not.
pub(crate) fn pick(shares: &[f64], now: &[(usize, bool)]) -> usize {
    let best = |any: bool| {
        let open = shares
            .iter()
            .zip(now)
            .enumerate()
            .filter(|(_, (share, (_, fit)))| **share > 0.0 && (*fit || any));
        let filled = open.map(|(core, (share, (held, _)))| ((*held as f64 + 1.0) / share, core));
        filled.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|f| f.1)
    };
    best(false).or_else(|| best(true)).unwrap_or(0)
}

#[cfg(test)]
mod tests;
