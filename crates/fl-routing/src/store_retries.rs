//! Paces calls to a store that fails them, so that their number does not grow with the fleet.
//!
//! The nodes that read for others go on at their usual pace and notice soon that the store is back.
//! All others share a budget, with full jitter. See `docs/design/100-on-the-platform.md`.

use std::time::Duration;

/// Calls per second for one purpose that all nodes which do not read for others make together.
const SHARED_RETRIES_PER_S: f64 = 20.0;
/// Longest mean pause of a node that hears no peer. It does not know how many others there are.
const ALONE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// What a node whose calls fail is to its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRole {
    /// It hears no peer.
    Alone,
    /// It reads the store for others.
    Reader,
    /// Others read the store for it; there are so many nodes.
    Served {
        /// Number of nodes, including this one.
        nodes: usize,
    },
}

/// Returns the pause after a call that failed, `failures` of them in a row.
///
/// `usual` is the pause of a reader, `jitter` a random number from 0 to 1.
pub fn retry_pause(usual: Duration, failures: u32, role: RetryRole, jitter: f64) -> Duration {
    match role {
        RetryRole::Reader => usual,
        RetryRole::Served { nodes } => {
            let mean_s = nodes as f64 / SHARED_RETRIES_PER_S;
            usual.max(Duration::from_secs_f64(2.0 * mean_s * jitter))
        }
        RetryRole::Alone => {
            let doubled = usual * 2_u32.saturating_pow(failures.saturating_sub(1).min(8));
            doubled.min(ALONE_PAUSE_MAX).mul_f64(0.5 + jitter)
        }
    }
}
