//! The hybrid logical clock: wall-clock time that never goes back and keeps cause before effect.

use fl_protocol::UnixMs;
use fl_protocol::event::HlcTimestamp;

/// How far ahead of the local wall clock a peer's stamp may be, in milliseconds.
///
/// A stamp beyond it comes from a VM whose clock is set wrongly; following it would date all later
/// events of the fleet into the future.
pub const MAX_CLOCK_OFFSET_MS: u64 = 60_000;

/// A hybrid logical clock; the wall clock is an argument, so that every step can be tested.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: HlcTimestamp,
}

impl HybridClock {
    /// The last stamp given.
    pub fn last(&self) -> HlcTimestamp {
        self.last
    }

    /// Gives a stamp above all earlier ones.
    pub fn tick(&mut self, now_ms: UnixMs) -> HlcTimestamp {
        self.last = after(self.last, now_ms);
        self.last
    }

    /// Takes the stamp of a received message and gives one above it and above all earlier ones.
    ///
    /// A stamp more than [`MAX_CLOCK_OFFSET_MS`] ahead of `now_ms` is ignored.
    pub fn observe(&mut self, stamp: HlcTimestamp, now_ms: UnixMs) -> HlcTimestamp {
        if stamp.time_ms <= now_ms.saturating_add(MAX_CLOCK_OFFSET_MS) {
            self.last = self.last.max(stamp);
        }
        self.tick(now_ms)
    }
}

fn after(last: HlcTimestamp, now_ms: UnixMs) -> HlcTimestamp {
    if now_ms > last.time_ms {
        return HlcTimestamp { time_ms: now_ms, counter: 0 };
    }
    match last.counter.checked_add(1) {
        Some(counter) => HlcTimestamp { time_ms: last.time_ms, counter },
        None => HlcTimestamp { time_ms: last.time_ms + 1, counter: 0 },
    }
}
