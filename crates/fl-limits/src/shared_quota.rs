//! One workspace's quota over all nodes: each node holds a weight of it, by demand.
//!
//! Nodes tell each other their weights and demands. A node may lower its weight at any time and
//! raises it only into what the others do not hold, so that the sum stays near one while news
//! travels. What a node that fell silent holds stays reserved until it must have stopped by itself.

use std::time::Duration;

/// Weight of the newest second in the mean demand.
const DEMAND_MEMORY: Duration = Duration::from_millis(1000);
/// The share of a quota that every node keeps at least of its even part, so that a burst that
/// comes first to one node finds something.
const FLOOR_SHARE: f64 = 0.25;

/// What another node holds and asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerShare {
    /// The weight it holds, 0 to 1.
    pub weight: f64,
    /// Units a second its callers ask for.
    pub demand_per_s: f64,
}

/// This node's part of one workspace's quota.
#[derive(Debug, Clone)]
pub struct SharedQuota {
    rate_per_s: f64,
    burst: f64,
    weight: f64,
    level: f64,
    demand_per_s: f64,
    asked: f64,
    demand_since: Duration,
    as_of: Duration,
}

impl SharedQuota {
    /// Starts with an even part of a quota.
    pub fn new(rate_per_s: f64, burst: f64, nodes: usize, now: Duration) -> Self {
        let weight = 1.0 / nodes.max(1) as f64;
        SharedQuota {
            rate_per_s,
            burst,
            weight,
            level: burst * weight,
            demand_per_s: 0.0,
            asked: 0.0,
            demand_since: now,
            as_of: now,
        }
    }

    /// Takes a new version of the quota.
    pub fn set_quota(&mut self, rate_per_s: f64, burst: f64, now: Duration) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(self.burst * self.weight);
    }

    /// The weight this node holds.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Units a second this node's callers ask for.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Takes units if this node's part has them; otherwise says when to come back.
    ///
    /// A call of more units than the part ever holds is let through from a full part and paid off
    /// afterwards, since it could otherwise never pass.
    pub fn try_take(&mut self, units: f64, now: Duration) -> Result<(), Duration> {
        self.asked += units;
        self.refill(now);
        let needed = units.min(self.burst * self.weight);
        if self.level >= needed {
            self.level -= units;
            return Ok(());
        }
        let refill_per_s = (self.rate_per_s * self.weight).max(f64::MIN_POSITIVE);
        let wait_s = ((needed - self.level) / refill_per_s).min(60.0);
        Err(Duration::from_secs_f64(wait_s))
    }

    /// Moves this node's weight towards its share of the demand.
    ///
    /// `peers` holds the last word of every other node that may still admit calls.
    pub fn rebalance(&mut self, peers: &[PeerShare], now: Duration) {
        self.refill(now);
        self.measure_demand(now);
        let held: f64 = peers.iter().map(|peer| peer.weight).sum();
        let asked: f64 = peers.iter().map(|peer| peer.demand_per_s).sum();
        let nodes = (peers.len() + 1) as f64;
        let floor = FLOOR_SHARE / nodes;
        let total = asked + self.demand_per_s;
        let by_demand = if total > 0.0 { self.demand_per_s / total } else { 1.0 / nodes };
        let wanted = floor + (1.0 - FLOOR_SHARE) * by_demand;
        let free = (1.0 - held).max(0.0);
        let next = if wanted <= self.weight { wanted } else { wanted.min(free.max(floor)) };
        self.set_weight(next);
    }

    fn set_weight(&mut self, weight: f64) {
        // Lowering the weight gives up its part of what was saved; raising it saves nothing yet.
        if weight < self.weight && self.level > 0.0 {
            self.level *= weight / self.weight;
        }
        self.weight = weight;
    }

    fn measure_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_since);
        if elapsed.is_zero() {
            return;
        }
        let newest = self.asked / elapsed.as_secs_f64();
        let share = (elapsed.as_secs_f64() / DEMAND_MEMORY.as_secs_f64()).min(1.0);
        self.demand_per_s += (newest - self.demand_per_s) * share;
        self.asked = 0.0;
        self.demand_since = now;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(now);
        let refilled = self.level + self.rate_per_s * self.weight * elapsed_s;
        self.level = refilled.min(self.burst * self.weight);
    }
}
