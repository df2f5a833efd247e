//! Measures calls of the duties: how long each takes, and how close to the end of the lease it begins.

use crate::clock::boot_time;
use fl_kernel::forward::{DutyLease, PlatformError};
use std::time::Duration;

/// Measures one call.
#[derive(Debug)]
pub struct CallTimer {
    duty: &'static str,
    started_at: Duration,
    lease_left: Duration,
}

impl CallTimer {
    /// Creates a timer for a call that begins now.
    pub fn start(duty: &'static str, duty_lease: &DutyLease) -> Self {
        let started_at = boot_time();
        let lease_left = duty_lease.sends_until.saturating_sub(started_at);
        CallTimer { duty, started_at, lease_left }
    }

    /// Returns the time in milliseconds for which calls could still be sent when this one began.
    pub fn lease_left_ms(&self) -> u64 {
        self.lease_left.as_millis() as u64
    }

    /// Counts the call and returns how long it took in milliseconds.
    pub fn stop(&self, error: Option<&PlatformError>) -> u64 {
        let result = match error {
            None => "answered",
            Some(PlatformError::NoResponse(_)) => "unanswered",
            Some(error) if error.is_outside_lease() => "not sent",
            Some(_) => "refused",
        };
        metrics::counter!("fl_duty_calls_total", "duty" => self.duty, "result" => result)
            .increment(1);
        boot_time().saturating_sub(self.started_at).as_millis() as u64
    }
}
