//! Units of a quota that are kept for the calls that go first.
//!
//! A workspace that sends more than its quota allows would spend it on its longest calls, while calls
//! that cost little and are urgent are refused beside them. See
//! `docs/design/150-precedence-in-quotas.md`.

use std::time::Duration;

/// Time for whose demand units are kept, and over which it is averaged in small fleets.
const KEPT_SPAN: Duration = Duration::from_millis(500);
/// Number of nodes from which on the demand is averaged over a longer time. A node of a large fleet
/// sees few calls, and one alone would stand for as many as there are nodes.
const SMALL_FLEET_NODES: f64 = 64.0;
/// Largest share of a burst that is kept, so that a full quota serves the other calls too.
const KEPT_BURST_SHARE: f64 = 0.6;

/// Whether a call may take the units that are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// The call may take all units that are left.
    First,
    /// The call leaves the units that are kept for others.
    After,
}

/// What the calls that go first ask of a quota at one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstDemand {
    /// Units that were asked for, with weights that decay exponentially.
    recent_units: f64,
    as_of: Duration,
}

impl FirstDemand {
    /// Records the units that a call asks for, and returns those that it has to leave; `nodes` is the
    /// number of nodes with a demand like this one's, and `burst` what the quota can save up.
    pub fn record(
        &mut self,
        precedence: Precedence,
        units: f64,
        nodes: usize,
        burst: f64,
        now: Duration,
    ) -> f64 {
        let averaged_spans = (nodes as f64 / SMALL_FLEET_NODES).max(1.0);
        self.decay(KEPT_SPAN.mul_f64(averaged_spans), now);
        match precedence {
            Precedence::First => {
                self.recent_units += units;
                0.0
            }
            Precedence::After => {
                let units_in_span = self.recent_units / averaged_spans;
                (units_in_span * nodes.max(1) as f64).min(burst * KEPT_BURST_SHARE)
            }
        }
    }

    fn decay(&mut self, averaging_time: Duration, now: Duration) {
        let elapsed = now.saturating_sub(self.as_of);
        self.recent_units *= (-elapsed.as_secs_f64() / averaging_time.as_secs_f64()).exp();
        self.as_of = self.as_of.max(now);
    }
}
