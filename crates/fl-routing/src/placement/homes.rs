//! The home servers of shared prompt parts, whose caches are likely to hold them.

use super::Candidate;
use crate::rendezvous::rank;

/// Share of a prompt part that its second home is expected to hold in its cache.
const SECOND_HOME_SHARE: f64 = 0.5;
/// Steps in which the pace counts as the weight of a home, for each doubling. A pace that changes
/// by less moves no home.
const WEIGHT_STEPS: f64 = 4.0;

/// Indexes of the servers that are expected to hold a prompt part in their caches: its home, and
/// its second home, which takes the calls that the home is too busy for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Homes {
    first: Option<usize>,
    second: Option<usize>,
}

/// How a server ranks as a home: by weighted rendezvous hashing, then by the hash alone, so that
/// equal weights give the order of unweighted hashing.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct HomeRank {
    weighted: f64,
    rank: u64,
    index: usize,
}

impl Homes {
    /// Chooses the homes of a prompt part. A server is chosen in proportion to its pace.
    pub(super) fn for_part(part: u64, candidates: &[Candidate]) -> Self {
        let mut best: [Option<HomeRank>; 2] = [None, None];
        for (index, candidate) in candidates.iter().enumerate() {
            let rank = rank(part, candidate.name_hash);
            let weighted = weighted_rank(rank, candidate.speed.pace);
            let ranked = Some(HomeRank { weighted, rank, index });
            if ranked > best[0] {
                best = [ranked, best[0]];
            } else if ranked > best[1] {
                best[1] = ranked;
            }
        }
        let [first, second] = best.map(|ranked| ranked.map(|ranked| ranked.index));
        Homes { first, second }
    }

    /// Returns the share of a prompt part that the cache of a server is expected to hold.
    pub(super) fn cached_share(&self, index: usize) -> f64 {
        if self.first == Some(index) {
            1.0
        } else if self.second == Some(index) {
            SECOND_HOME_SHARE
        } else {
            0.0
        }
    }
}

/// Returns the rank of a server whose chance to be the highest is proportional to its weight: the
/// weight over the negative logarithm of the rank as a fraction of all ranks.
fn weighted_rank(rank: u64, pace: f64) -> f64 {
    let weight = ((pace.log2() * WEIGHT_STEPS).round() / WEIGHT_STEPS).exp2();
    let fraction = (rank as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    weight / -fraction.ln().min(-f64::MIN_POSITIVE)
}
