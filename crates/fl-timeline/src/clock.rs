//! Hybrid logical clock: timestamps close to wall-clock time that never go back and order causes
//! before their effects.

use fl_protocol::UnixMs;
use fl_protocol::event::HlcTimestamp;

/// Largest accepted offset of a peer's timestamp ahead of the local wall clock, in milliseconds.
///
/// A timestamp further ahead comes from a VM with a wrong clock; adopting it would move the
/// timestamps of all later events of the fleet into the future.
pub const MAX_CLOCK_OFFSET_MS: u64 = 60_000;

/// A hybrid logical clock; callers pass the wall-clock time, so that tests can control it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: HlcTimestamp,
}

impl HybridClock {
    /// Returns the most recent timestamp, or the default before the first one.
    pub fn last(&self) -> HlcTimestamp {
        self.last
    }

    /// Returns a timestamp greater than all earlier ones, for a local event.
    pub fn tick(&mut self, now_ms: UnixMs) -> HlcTimestamp {
        self.last = next_timestamp(self.last, now_ms);
        self.last
    }

    /// Returns a timestamp greater than that of a received message and than all earlier ones.
    ///
    /// A received timestamp more than [`MAX_CLOCK_OFFSET_MS`] ahead of `now_ms` is ignored.
    pub fn observe(&mut self, timestamp: HlcTimestamp, now_ms: UnixMs) -> HlcTimestamp {
        if timestamp.time_ms <= now_ms.saturating_add(MAX_CLOCK_OFFSET_MS) {
            self.last = self.last.max(timestamp);
        }
        self.tick(now_ms)
    }
}

fn next_timestamp(last: HlcTimestamp, now_ms: UnixMs) -> HlcTimestamp {
    if now_ms > last.time_ms {
        return HlcTimestamp { time_ms: now_ms, counter: 0 };
    }
    match last.counter.checked_add(1) {
        Some(counter) => HlcTimestamp { time_ms: last.time_ms, counter },
        None => HlcTimestamp { time_ms: last.time_ms + 1, counter: 0 },
    }
}
