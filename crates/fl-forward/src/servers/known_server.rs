//! What a node knows of one server beyond its registry entry.

use fl_limits::ServerNotices;
use fl_protocol::forward::ServerName;
use fl_routing::peer_loads::InFlightLoad;
use fl_routing::placement::ServerLoad;
use fl_routing::rendezvous::name_hash;
use fl_routing::server_pace::{InstanceKey, instance_key};
use fl_routing::server_speed::{ServerSpeed, StatedSlowdown};
use std::time::Duration;

/// Added to a server's failure score for each failure.
const FAILURE_SCORE_STEP: f64 = 0.35;
/// Time in which a failure score halves.
const FAILURE_SCORE_HALF_LIFE: Duration = Duration::from_millis(1500);

/// What this node knows of one server beyond its registry entry.
pub(super) struct KnownServer {
    pub(super) name: ServerName,
    /// This node's calls in flight at the server.
    pub(super) own: InFlightLoad,
    /// Start of its instance, in Unix milliseconds, if its entry says so.
    pub(super) born_ms: Option<u64>,
    /// What it asked of this node in its responses.
    pub(super) notices: ServerNotices,
    /// Its lasting speed relative to the mean of its service.
    pub(super) pace: f64,
    /// The slowdown that it stated last.
    pub(super) slowdown: StatedSlowdown,
    /// Raised by failures; it decays from the value at `failure_score_at`.
    failure_score: f64,
    failure_score_at: Duration,
}

impl KnownServer {
    pub(super) fn new(name: &str, born_ms: Option<u64>) -> Self {
        KnownServer {
            name: name.to_string(),
            own: InFlightLoad::idle(name_hash(name)),
            born_ms,
            notices: ServerNotices::default(),
            pace: 1.0,
            slowdown: StatedSlowdown::default(),
            failure_score: 0.0,
            failure_score_at: Duration::ZERO,
        }
    }

    pub(super) fn name_hash(&self) -> u64 {
        self.own.name_hash
    }

    /// Returns the key of its instance.
    pub(super) fn instance_key(&self) -> InstanceKey {
        instance_key(self.name_hash(), self.born_ms)
    }

    /// Forgets what an earlier instance of the server asked, and how fast it was.
    pub(super) fn set_instance(&mut self, born_ms: Option<u64>) {
        if self.born_ms != born_ms {
            self.born_ms = born_ms;
            self.notices = ServerNotices::default();
            self.pace = 1.0;
            self.slowdown = StatedSlowdown::default();
        }
    }

    /// Returns its load, of which `peers` is the part of the other nodes.
    pub(super) fn load(&self, peers: &InFlightLoad, now: Duration) -> ServerLoad {
        let mut load = self.own;
        load.add(peers);
        ServerLoad {
            in_flight: load.in_flight,
            pending_prefill_tokens: load.pending_prefill_tokens,
            urgent_pending_prefill_tokens: load.urgent_prefill_tokens,
            failure_score: self.current_failure_score(now),
        }
    }

    /// Returns its speed at this moment.
    pub(super) fn speed(&self, now: Duration) -> ServerSpeed {
        self.slowdown.speed(self.pace, now)
    }

    /// Raises the failure score after a failed call.
    pub(super) fn record_failure(&mut self, now: Duration) {
        self.failure_score = (self.current_failure_score(now) + FAILURE_SCORE_STEP).min(1.0);
        self.failure_score_at = now;
    }

    fn current_failure_score(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_score_at).as_secs_f64();
        self.failure_score * 0.5_f64.powf(age / FAILURE_SCORE_HALF_LIFE.as_secs_f64())
    }
}
