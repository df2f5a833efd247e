//! How many backend servers of a service to order in each data centre.
//!
//! Servers that the cloud may take back cost a fraction of on-demand ones but leave a data centre
//! all at once. So they are spread until the loss of any one data centre leaves enough, and
//! on-demand servers only fill what is missing until reclaimable ones are to be had again.

use fl_protocol::DataCenterName;
use fl_protocol::forward::ScalingFacts;

/// Reclaimable servers are preferred up to this price, as a share of an on-demand server's; above
/// it the spare ones for a lost data centre eat up what they save.
const RECLAIMABLE_PRICE_MAX: f64 = 0.6;
/// Share of a server's time that reads prompts when first tokens come soon, also after a data
/// centre lost its servers.
const TARGET_UTILIZATION: f64 = 0.25;
/// Share of an on-demand server's time that reads prompts where there are no reclaimable ones, so
/// that no data centre loses all of its servers at once.
const ON_DEMAND_TARGET_UTILIZATION: f64 = 0.4;
/// Share of a server's time that reads prompts when first tokens still come in time.
const MAX_UTILIZATION: f64 = 0.6;
/// Share of the least need that stays when the data centre with most reclaimable servers loses
/// them; it bridges the time until others have booted. Below the busy share of the least need
/// queues would grow all the while.
const BRIDGE_SHARE: f64 = 0.65;
/// Share of the on-demand servers found at the start that the demand is assumed to keep busy before
/// it was measured.
const INITIAL_UTILIZATION: f64 = 0.2;

/// What a data centre has of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneFleet {
    /// The data centre.
    pub zone: DataCenterName,
    /// Lasting servers that take calls.
    pub on_demand: u32,
    /// Reclaimable servers that take calls.
    pub reclaimable: u32,
}

/// What a data centre shall have of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOrder {
    /// The data centre.
    pub zone: DataCenterName,
    /// Lasting servers.
    pub on_demand: u32,
    /// Reclaimable servers.
    pub reclaimable: u32,
}

/// What the demand asks for, in servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerNeed {
    /// Enough for the highest demand of the last while with short queues.
    pub target: f64,
    /// Enough for that demand on servers that stay.
    pub on_demand_target: f64,
    /// Enough for the demand of now, with queues.
    pub minimum: f64,
}

impl ServerNeed {
    /// The servers that are needed when the demand keeps so many busy, at the highest of the last
    /// while and now.
    pub fn from_busy_servers(highest: f64, now: f64) -> Self {
        ServerNeed {
            target: highest / TARGET_UTILIZATION,
            on_demand_target: highest / ON_DEMAND_TARGET_UTILIZATION,
            minimum: now / MAX_UTILIZATION,
        }
    }
}

/// Plans the fleet of a service: ample reclaimable servers, and on-demand ones for what is missing
/// of the least.
pub fn plan(facts: &ScalingFacts, zones: &[ZoneFleet], need: ServerNeed) -> Vec<ZoneOrder> {
    let reclaimable = reclaimable_per_zone(facts, zones.len(), need);
    if reclaimable == 0 {
        return on_demand_only(facts, zones, need.on_demand_target);
    }
    let mut orders: Vec<ZoneOrder> = zones
        .iter()
        .map(|fleet| ZoneOrder { zone: fleet.zone.clone(), on_demand: 0, reclaimable })
        .collect();
    fill(facts, zones, &mut orders, missing(zones, reclaimable, need));
    orders
}

/// Servers that reclaimable ones lack of the least need, now or once the data centre that has most
/// of them loses them.
fn missing(zones: &[ZoneFleet], ordered: u32, need: ServerNeed) -> u32 {
    let ready = zones.iter().map(|fleet| fleet.reclaimable.min(ordered));
    let most = ready.clone().max().unwrap_or(0);
    let ready: u32 = ready.sum();
    let bridge = (need.minimum * BRIDGE_SHARE).ceil() as u32;
    let now = (need.minimum.ceil() as u32).saturating_sub(ready);
    now.max(bridge.saturating_sub(ready - most))
}

fn on_demand_only(facts: &ScalingFacts, zones: &[ZoneFleet], needed: f64) -> Vec<ZoneOrder> {
    let mut orders: Vec<ZoneOrder> = zones
        .iter()
        .map(|fleet| ZoneOrder { zone: fleet.zone.clone(), on_demand: 0, reclaimable: 0 })
        .collect();
    fill(facts, zones, &mut orders, needed.ceil() as u32);
    orders
}

/// Adds on-demand servers: the fewest that each data centre must have, then what is still missing.
fn fill(facts: &ScalingFacts, zones: &[ZoneFleet], orders: &mut [ZoneOrder], missing: u32) {
    keep_least(facts, zones, orders);
    let kept: u32 = orders.iter().map(|order| order.on_demand).sum();
    add_on_demand(facts, zones, orders, missing.saturating_sub(kept));
}

/// Keeps the fewest servers that operators declared for each data centre.
fn keep_least(facts: &ScalingFacts, zones: &[ZoneFleet], orders: &mut [ZoneOrder]) {
    for (order, fleet) in orders.iter_mut().zip(zones) {
        let least = facts.servers_min.saturating_sub(fleet.reclaimable.min(order.reclaimable));
        order.on_demand = order.on_demand.max(least);
    }
}

/// Ample in all data centres together, and the least need in all but one of them.
fn reclaimable_per_zone(facts: &ScalingFacts, zones: usize, need: ServerNeed) -> u32 {
    let is_cheap = facts.reclaimable_price.is_some_and(|price| price <= RECLAIMABLE_PRICE_MAX);
    if !is_cheap || zones == 0 {
        return 0;
    }
    let left = zones.saturating_sub(1).max(1);
    let each = (need.target / zones as f64).max(need.minimum / left as f64);
    (each.ceil() as u32).clamp(facts.servers_min.max(1), facts.servers_max.max(1))
}

/// Spreads on-demand servers over the data centres, one after the other, the cheapest first.
fn add_on_demand(
    facts: &ScalingFacts,
    zones: &[ZoneFleet],
    orders: &mut [ZoneOrder],
    missing: u32,
) {
    let mut by_price: Vec<usize> = (0..orders.len()).collect();
    by_price.sort_by(|a, b| price(facts, &orders[*a]).total_cmp(&price(facts, &orders[*b])));
    let mut left = missing;
    while left > 0 {
        let before = left;
        for index in &by_price {
            let order = &mut orders[*index];
            // A place that reclaimable servers do not take is free for an on-demand one.
            let taken = zones[*index].reclaimable.min(order.reclaimable);
            if left > 0 && order.on_demand + taken < facts.servers_max {
                order.on_demand += 1;
                left -= 1;
            }
        }
        if left == before {
            return;
        }
    }
}

fn price(facts: &ScalingFacts, order: &ZoneOrder) -> f64 {
    let place = facts.zone_prices.binary_search_by(|(zone, _)| zone.cmp(&order.zone));
    place.map_or(1.0, |place| facts.zone_prices[place].1)
}

/// The busy servers that what is there suggests to a node that has not measured the demand for
/// long.
///
/// Lasting servers found at the start are mostly more than enough, so a share of them counts.
/// Reclaimable ones were ordered alike for each data centre, also for those that have lost theirs.
pub fn estimate_busy_servers(zones: &[ZoneFleet]) -> f64 {
    let on_demand: u32 = zones.iter().map(|fleet| fleet.on_demand).sum();
    let most = zones.iter().map(|fleet| fleet.reclaimable).max().unwrap_or(0);
    let reclaimable = f64::from(most) * zones.len() as f64;
    (f64::from(on_demand) * INITIAL_UTILIZATION).max(reclaimable * TARGET_UTILIZATION)
}

/// Raises orders to what is there, for a node that has not measured the demand for long; on-demand
/// servers only if `keeps_on-demand`, since those of the system's first start are too many.
pub fn keep_present_servers(orders: &mut [ZoneOrder], zones: &[ZoneFleet], keep_on_demand: bool) {
    for (order, fleet) in orders.iter_mut().zip(zones) {
        order.reclaimable = order.reclaimable.max(fleet.reclaimable);
        if keep_on_demand {
            order.on_demand = order.on_demand.max(fleet.on_demand);
        }
    }
}
