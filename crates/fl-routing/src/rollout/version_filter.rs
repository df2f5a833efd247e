//! The software versions that may get a call.

use super::{Phase, Side};

/// Software versions that may get a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// This one alone.
    Only(String),
    /// All but these.
    Except(Vec<String>),
}

impl VersionFilter {
    /// Returns whether servers of a version may get the call.
    pub fn admits(&self, software_version: &str) -> bool {
        match self {
            VersionFilter::Only(version) => version == software_version,
            VersionFilter::Except(versions) => {
                !versions.iter().any(|version| version == software_version)
            }
        }
    }
}

/// Returns which versions may get a call, best first. `excluded` are the versions that were rolled
/// back, `is_resumed` says whether the call is for the rest of a stream, which keeps its version.
pub fn filters(
    phase: Phase,
    side: Side,
    to: &str,
    excluded: &[String],
    is_resumed: bool,
) -> Vec<VersionFilter> {
    let only_new = VersionFilter::Only(to.to_string());
    let except_new = || {
        let mut versions = excluded.to_vec();
        versions.push(to.to_string());
        VersionFilter::Except(versions)
    };
    match (phase, side) {
        (Phase::Completed, _) => vec![only_new],
        (Phase::Stopped | Phase::RolledBack, _) => vec![except_new()],
        _ if is_resumed => vec![VersionFilter::Except(excluded.to_vec())],
        (_, Side::New) => vec![only_new, except_new()],
        (_, Side::Old) => vec![except_new(), only_new],
    }
}
