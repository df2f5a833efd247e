//! What a node knows of the newest order for one service.

use fl_protocol::forward::RolloutOrder;
use fl_routing::rollout::{
    AnswerTimes, Check, Evidence, ExposureBudget, OwnCalls, PendingChecks, Phase, RolloutBounds,
    RouteCounts, RouteHash, Schedule, merge_counts, record,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Versions that were rolled back and are remembered, of one service.
const EXCLUDED_MAX: usize = 16;
/// Routes of which answers are counted apart, so that the counts fit in a datagram.
const ROUTES_MAX: usize = 128;
/// Stands for all routes beyond these.
const OTHER_ROUTES: RouteHash = 0;
/// Connections to one server that break within this time count once: a server that is lost breaks
/// all that it has.
const BREAK_INTERVAL: Duration = Duration::from_secs(1);

/// What a peer reported last.
pub(super) struct PeerRollout {
    pub(super) address: SocketAddr,
    pub(super) process: u64,
    pub(super) counts: Vec<RouteCounts>,
    pub(super) phase: Option<Phase>,
    pub(super) old_in_flight: usize,
    pub(super) heard_at: Duration,
}

/// The newest order for one service, and what is known since.
pub(super) struct KnownOrder {
    pub(super) order: RolloutOrder,
    pub(super) phase: Phase,
    /// Boot time of the order, as early as any node saw it.
    pub(super) began_at: Duration,
    /// Boot time since which this node counts.
    counted_from: Duration,
    /// Boot time at which this node learned of the move.
    pub(super) moved_at: Option<Duration>,
    pub(super) is_withdrawn: bool,
    /// Versions that were rolled back and that no order named since.
    pub(super) excluded: Vec<String>,
    /// Nodes that were known when the order was first seen.
    pub(super) nodes: usize,
    /// Longest time that a call of the service may take.
    pub(super) longest_call: Duration,
    /// Revision of the row on the rollout; 0 if there is none.
    pub(super) status_revision: u64,
    /// Whether that row may have changed without this node's knowledge.
    is_status_unknown: bool,
    /// What that row says of this order; `None` if it is on another one.
    pub(super) stored_phase: Option<Phase>,
    /// When that row was read or written last, if it said that the move is under way.
    pub(super) read_moving_at: Option<Duration>,
    pub(super) calls: OwnCalls,
    pub(super) budget: ExposureBudget,
    pub(super) counts: Vec<RouteCounts>,
    /// The part of [`KnownOrder::counts`] that is in the evidence.
    judged: Vec<RouteCounts>,
    pub(super) times: AnswerTimes,
    pub(super) pending: PendingChecks,
    pub(super) evidence: Evidence,
    /// Sorted by address.
    pub(super) peers: Vec<PeerRollout>,
    /// Whether this node hears half of all nodes, including itself.
    pub(super) hears_half: bool,
    /// Whether it would have heard that the version is bad.
    pub(super) is_informed: bool,
    /// Until when this node sends nothing to the old version, as it reported.
    pub(super) promised_until: Duration,
    breaks: Vec<(String, Duration)>,
}

impl KnownOrder {
    /// Begins a rollout. `is_fresh` says whether it was ordered while this node ran.
    pub(super) fn new(
        order: RolloutOrder,
        now: Duration,
        bounds: &RolloutBounds,
        peers: &[SocketAddr],
        is_fresh: bool,
    ) -> Self {
        let nodes = peers.len() + 1;
        let mut known_peers: Vec<PeerRollout> =
            peers.iter().map(|address| PeerRollout::new(*address, now)).collect();
        known_peers.sort_by_key(|peer| peer.address);
        KnownOrder {
            order,
            phase: Phase::Watching,
            began_at: now,
            counted_from: now,
            moved_at: None,
            is_withdrawn: false,
            excluded: Vec::new(),
            nodes,
            longest_call: Duration::ZERO,
            status_revision: 0,
            is_status_unknown: false,
            stored_phase: None,
            read_moving_at: None,
            calls: OwnCalls::default(),
            budget: ExposureBudget::new(bounds, is_fresh.then_some(nodes)),
            counts: Vec::new(),
            judged: Vec::new(),
            times: AnswerTimes::default(),
            pending: PendingChecks::default(),
            evidence: Evidence::default(),
            peers: known_peers,
            hears_half: false,
            is_informed: false,
            promised_until: Duration::ZERO,
            breaks: Vec::new(),
        }
    }

    /// Returns this order with the versions that were excluded before it, and the one of the order
    /// before it unless that was completed.
    pub(super) fn after(mut self, before: &KnownOrder) -> Self {
        self.exclude(before.excluded.iter().cloned());
        if before.phase != Phase::Completed {
            self.exclude([before.order.software_version.clone()]);
        }
        self.status_revision = before.status_revision;
        self
    }

    /// Excludes versions other than the one that is ordered.
    pub(super) fn exclude(&mut self, versions: impl IntoIterator<Item = String>) {
        let to = &self.order.software_version;
        self.excluded.extend(versions.into_iter().filter(|version| version != to));
        self.excluded.sort();
        self.excluded.dedup();
        self.excluded.truncate(EXCLUDED_MAX);
    }

    /// Ends the rollout unless it is over.
    pub(super) fn withdraw(&mut self) {
        if !self.phase.is_final() {
            self.is_withdrawn = true;
            self.phase = Phase::Stopped;
        }
    }

    /// Adopts a later phase. Returns whether it is one.
    pub(super) fn advance(&mut self, phase: Phase, now: Duration) -> bool {
        let is_later = phase > self.phase;
        if is_later {
            self.phase = phase;
        }
        if self.phase == Phase::Moving {
            self.moved_at.get_or_insert(now);
        }
        is_later
    }

    /// Has the row on the rollout read again before it is written.
    pub(super) fn request_reread(&mut self) {
        self.is_status_unknown = true;
    }

    pub(super) fn needs_reread(&self) -> bool {
        self.is_status_unknown
    }

    /// Notes that the row was read and that there is none.
    pub(super) fn note_no_status(&mut self) {
        self.is_status_unknown = false;
        self.status_revision = 0;
        self.stored_phase = None;
    }

    /// Notes the revision of the row and what it says of this order.
    pub(super) fn note_status(&mut self, revision: u64, phase: Option<Phase>) {
        self.is_status_unknown = false;
        self.status_revision = revision;
        self.stored_phase = phase;
    }

    pub(super) fn schedule(&self) -> Schedule {
        Schedule { duration: self.order.duration, longest_call: self.longest_call }
    }

    pub(super) fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began_at)
    }

    /// Counts a call to the service.
    pub(super) fn count_call(&mut self, is_new: bool, is_first_attempt: bool, now: Duration) {
        self.calls.all += u64::from(is_first_attempt);
        self.calls.new += u64::from(is_new);
        self.calls.counted_for = now.saturating_sub(self.counted_from);
    }

    pub(super) fn record(&mut self, route: RouteHash, is_new: bool, check: Check, is_bad: bool) {
        let is_counted_apart = self.counts.len() < ROUTES_MAX
            || self.counts.iter().any(|counts| counts.route == route);
        let route = if is_counted_apart { route } else { OTHER_ROUTES };
        record(&mut self.counts, route, is_new, check, is_bad);
        let version = if is_new { "new" } else { "old" };
        let result = if is_bad { check.name() } else { "good" };
        let labels = [("version", version), ("check", check.name()), ("result", result)];
        metrics::counter!("fl_rollout_answers_total", &labels).increment(1);
    }

    /// Returns whether a broken connection counts, as no other one to the server broke just before.
    pub(super) fn is_first_break(&mut self, server: &str, now: Duration) -> bool {
        self.breaks.retain(|(_, at)| now.saturating_sub(*at) < BREAK_INTERVAL);
        let is_first = !self.breaks.iter().any(|(known, _)| known == server);
        if is_first {
            self.breaks.push((server.to_string(), now));
        }
        is_first
    }

    /// Judges this node's answers up to now, and updates what follows from the time.
    pub(super) fn update(&mut self, now: Duration, bounds: &RolloutBounds) {
        for due in self.pending.take_due(now) {
            self.record(due.route, due.is_new, due.check, !due.is_met);
        }
        let added = merge_counts(&mut self.judged, &self.counts);
        self.evidence.add(&added, now);
        let is_recent = |at: Duration| now.saturating_sub(at) < bounds.informed_within();
        let heard = self.peers.iter().filter(|peer| is_recent(peer.heard_at)).count();
        self.hears_half = 2 * heard + 1 >= self.nodes.max(self.peers.len() + 1);
        let has_read = self.read_moving_at.is_some_and(is_recent);
        self.is_informed = self.hears_half || self.phase == Phase::Moving && has_read;
    }
}

impl PeerRollout {
    pub(super) fn new(address: SocketAddr, now: Duration) -> Self {
        PeerRollout {
            address,
            process: 0,
            counts: Vec::new(),
            phase: None,
            old_in_flight: 0,
            heard_at: now,
        }
    }
}
