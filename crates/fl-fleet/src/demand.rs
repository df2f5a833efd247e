//! Number of servers that the demand of a service keeps busy, computed from a running total of
//! work.
//!
//! Every node measures the demand, so that a new holder of the duty lease knows it. Until a node
//! has measured for long enough, the present servers count as needed: a new holder must not remove
//! servers that the previous holder had reason to order.

use std::time::Duration;

/// Time over which the work rate is averaged.
const AVERAGING_SPAN: Duration = Duration::from_millis(4000);
/// Time for which a measured need counts towards the peak, so that a short dip in demand removes no
/// servers.
const PEAK_MEMORY: Duration = Duration::from_secs(20);

/// Time of measuring after which servers may be removed.
const MIN_HISTORY: Duration = Duration::from_secs(10);

/// Measured demand of one service, in busy servers.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    /// Totals of work with the times of their recording.
    totals: Vec<(Duration, u64)>,
    /// Measured needs in busy servers, with their times.
    needs: Vec<(Duration, f64)>,
    /// Highest need estimated from the present servers; dropped once the demand was measured for
    /// [`PEAK_MEMORY`].
    initial_estimate: f64,
    started_at: Option<Duration>,
}

impl DemandMeter {
    /// Records the total of work so far; `to_busy_servers` converts work per second to a number of
    /// busy servers.
    pub fn record_total(
        &mut self,
        now: Duration,
        total: u64,
        to_busy_servers: impl Fn(f64) -> f64,
    ) {
        self.totals.push((now, total));
        let span_start = now.saturating_sub(AVERAGING_SPAN);
        let expired = self.totals.iter().take_while(|(at, _)| *at < span_start).count();
        self.totals.drain(..expired.saturating_sub(1));
        let Some((from, first)) = self.totals.first().copied() else { return };
        let elapsed = now.saturating_sub(from);
        if total == first || elapsed < AVERAGING_SPAN {
            return;
        }
        let started_at = *self.started_at.get_or_insert(now);
        let work_per_s = total.saturating_sub(first) as f64 / elapsed.as_secs_f64();
        self.needs.push((now, to_busy_servers(work_per_s)));
        self.needs.retain(|(at, _)| now.saturating_sub(*at) < PEAK_MEMORY);
        if now.saturating_sub(started_at) >= PEAK_MEMORY {
            self.initial_estimate = 0.0;
        }
    }

    /// Raises the need to an estimate from the present servers, until the demand was measured for
    /// long enough.
    pub fn assume_at_least(&mut self, need: f64) {
        self.initial_estimate = self.initial_estimate.max(need);
    }

    /// Returns whether the demand was measured for long enough to remove servers.
    pub fn has_enough_history(&self, now: Duration) -> bool {
        self.started_at.is_some_and(|started_at| now.saturating_sub(started_at) >= MIN_HISTORY)
    }

    /// Returns the highest recent need in busy servers, including the estimate from the present
    /// servers while it still counts.
    pub fn peak(&self) -> f64 {
        self.needs.iter().map(|(_, need)| *need).fold(self.initial_estimate, f64::max)
    }

    /// Returns the highest number of busy servers within one boot time and averaging span.
    ///
    /// Demand that rises and falls within that time cannot be met by ordering servers, because they
    /// would be ready too late.
    pub fn recent_peak(&self, now: Duration, boot: Duration) -> f64 {
        let since = now.saturating_sub(boot + AVERAGING_SPAN);
        let recent = self.needs.iter().filter(|(at, _)| *at >= since);
        recent.map(|(_, need)| *need).fold(self.initial_estimate, f64::max)
    }
}
