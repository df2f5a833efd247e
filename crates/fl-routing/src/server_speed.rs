//! The speed of a backend server: its lasting pace, and a slowdown that it states and that passes.
//!
//! See `docs/design/140-placement-by-cost.md`.

use crate::server_pace::InstanceKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a stated slowdown is expected to last. Servers that share their machine slow down in
/// spells of about this length.
const SLOWDOWN_TIME: Duration = Duration::from_millis(600);
/// Factor by which a stated slowdown has to differ from the known one to be announced to the peers.
const ANNOUNCED_CHANGE_FACTOR: f64 = 1.3;
/// Work time, in percent, that a server without a slowdown states.
const USUAL_PERCENT: f64 = 100.0;
const MS_PER_S: f64 = 1000.0;

/// How fast a server works, compared with a server of mean pace without a slowdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSpeed {
    /// Lasting speed relative to the mean of the service; see [`crate::server_pace`].
    pub pace: f64,
    /// Factor by which work takes longer for now.
    pub slowdown: f64,
    /// How much longer the slowdown is expected to last, in milliseconds.
    pub slowdown_left_ms: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        ServerSpeed { pace: 1.0, slowdown: 1.0, slowdown_left_ms: 0.0 }
    }
}

impl ServerSpeed {
    /// Returns how long the server takes for what takes `mean_ms` on one of mean pace, in
    /// milliseconds. Work beyond the end of the slowdown is done at the lasting pace.
    pub fn work_ms(&self, mean_ms: f64) -> f64 {
        let usual_ms = mean_ms / self.pace;
        let slowed_ms = usual_ms * self.slowdown;
        if slowed_ms <= self.slowdown_left_ms {
            return slowed_ms;
        }
        usual_ms + self.slowdown_left_ms * (1.0 - self.slowdown.recip())
    }
}

/// A slowdown that a server has just stated to a node, for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedSlowdown {
    /// The server instance.
    pub server: InstanceKey,
    /// How long work takes, in percent of the usual time.
    pub work_time_percent: u16,
}

/// The slowdown that a server stated last.
#[derive(Debug, Clone, Copy, Default)]
pub struct StatedSlowdown {
    stated: Option<(f64, Duration)>,
}

impl StatedSlowdown {
    /// Records how long work takes as the server states it, in percent of the usual time. Returns
    /// whether that differs much from what was known.
    pub fn hear(&mut self, work_time_percent: u16, now: Duration) -> bool {
        let known = self.speed(1.0, now).slowdown;
        let stated = f64::from(work_time_percent.max(1)) / USUAL_PERCENT;
        self.stated = Some((stated, now));
        stated / known >= ANNOUNCED_CHANGE_FACTOR || known / stated >= ANNOUNCED_CHANGE_FACTOR
    }

    /// Returns the speed of a server of this pace.
    pub fn speed(&self, pace: f64, now: Duration) -> ServerSpeed {
        let usual = ServerSpeed { pace, ..ServerSpeed::default() };
        let Some((slowdown, stated_at)) = self.stated else { return usual };
        let left = SLOWDOWN_TIME.saturating_sub(now.saturating_sub(stated_at));
        if left.is_zero() {
            return usual;
        }
        ServerSpeed { pace, slowdown, slowdown_left_ms: left.as_secs_f64() * MS_PER_S }
    }
}
