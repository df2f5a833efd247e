//! Number of backend servers of a service to order in each data centre.
//!
//! Reclaimable servers cost a fraction of on-demand servers, but the cloud takes them back from a
//! whole data centre at once. They are therefore spread so that the loss of any one data centre
//! leaves enough, and on-demand servers only fill the gap until reclaimable ones are available
//! again.

use fl_protocol::DataCenterName;
use fl_protocol::forward::ScalingConfig;

/// Highest price at which reclaimable servers are ordered, as a share of the price of an on-demand
/// server; above it, the spare servers for a lost data centre cost more than is saved.
const MAX_RECLAIMABLE_PRICE: f64 = 0.6;
/// Share of a server's time spent on prompts at which first tokens are fast, even after a data
/// centre lost its servers.
const TARGET_UTILIZATION: f64 = 0.25;
/// Share of an on-demand server's time spent on prompts when there are no reclaimable servers;
/// higher, because no data centre can lose all of its servers at once.
const ON_DEMAND_TARGET_UTILIZATION: f64 = 0.4;
/// Share of a server's time spent on prompts at which first tokens are still in time.
const MAX_UTILIZATION: f64 = 0.6;
/// Share of the minimum that must remain when the data centre with the most reclaimable servers
/// loses them, until replacements have booted. With a share below [`MAX_UTILIZATION`], the
/// remaining servers would be overloaded and queues would grow all that time.
const MIN_SHARE_AFTER_LOSS: f64 = 0.65;
/// Assumed share of busy servers among the on-demand servers found at the start, before the demand
/// was measured.
const INITIAL_UTILIZATION: f64 = 0.2;

/// Present servers of a service in one data centre.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneFleet {
    /// Name of the data centre.
    pub zone: DataCenterName,
    /// Number of on-demand servers that take calls.
    pub on_demand: u32,
    /// Number of reclaimable servers that take calls.
    pub reclaimable: u32,
}

/// Number of servers that a data centre must have of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOrder {
    /// Name of the data centre.
    pub zone: DataCenterName,
    /// Number of on-demand servers.
    pub on_demand: u32,
    /// Number of reclaimable servers.
    pub reclaimable: u32,
}

/// Number of servers that the demand needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerNeed {
    /// Servers for the peak demand with short queues.
    pub target: f64,
    /// Servers for the peak demand if all of them are on-demand servers.
    pub on_demand_target: f64,
    /// Servers for the current demand, with queues.
    pub minimum: f64,
}

impl ServerNeed {
    /// Returns the need for a number of busy servers at the peak and at present.
    pub fn from_busy_servers(peak: f64, current: f64) -> Self {
        ServerNeed {
            target: peak / TARGET_UTILIZATION,
            on_demand_target: peak / ON_DEMAND_TARGET_UTILIZATION,
            minimum: current / MAX_UTILIZATION,
        }
    }
}

/// Plans the fleet of a service: reclaimable servers for the target, and on-demand servers for what
/// is missing to the minimum.
///
/// Without reclaimable servers at an acceptable price, on-demand servers meet the whole need.
pub fn plan_orders(
    config: &ScalingConfig,
    zones: &[ZoneFleet],
    need: ServerNeed,
) -> Vec<ZoneOrder> {
    let reclaimable = reclaimable_per_zone(config, zones.len(), need);
    if reclaimable == 0 {
        return on_demand_only(config, zones, need.on_demand_target);
    }
    let mut orders: Vec<ZoneOrder> = zones
        .iter()
        .map(|fleet| ZoneOrder { zone: fleet.zone.clone(), on_demand: 0, reclaimable })
        .collect();
    fill_with_on_demand(config, zones, &mut orders, count_missing(zones, reclaimable, need));
    orders
}

/// Returns how many servers the reclaimable ones fall short of the minimum, now or after the data
/// centre with the most of them loses them.
fn count_missing(zones: &[ZoneFleet], ordered: u32, need: ServerNeed) -> u32 {
    let ready = zones.iter().map(|fleet| fleet.reclaimable.min(ordered));
    let largest = ready.clone().max().unwrap_or(0);
    let ready: u32 = ready.sum();
    let after_loss = (need.minimum * MIN_SHARE_AFTER_LOSS).ceil() as u32;
    let missing_now = (need.minimum.ceil() as u32).saturating_sub(ready);
    missing_now.max(after_loss.saturating_sub(ready - largest))
}

fn on_demand_only(config: &ScalingConfig, zones: &[ZoneFleet], needed: f64) -> Vec<ZoneOrder> {
    let mut orders: Vec<ZoneOrder> = zones
        .iter()
        .map(|fleet| ZoneOrder { zone: fleet.zone.clone(), on_demand: 0, reclaimable: 0 })
        .collect();
    fill_with_on_demand(config, zones, &mut orders, needed.ceil() as u32);
    orders
}

/// Adds on-demand servers: first the configured minimum of each data centre, then what is missing.
fn fill_with_on_demand(
    config: &ScalingConfig,
    zones: &[ZoneFleet],
    orders: &mut [ZoneOrder],
    missing: u32,
) {
    raise_to_configured_minimum(config, zones, orders);
    let kept: u32 = orders.iter().map(|order| order.on_demand).sum();
    add_on_demand(config, zones, orders, missing.saturating_sub(kept));
}

/// Raises the on-demand servers of each data centre to the minimum that operators configured.
fn raise_to_configured_minimum(
    config: &ScalingConfig,
    zones: &[ZoneFleet],
    orders: &mut [ZoneOrder],
) {
    for (order, fleet) in orders.iter_mut().zip(zones) {
        let minimum = config.servers_min.saturating_sub(fleet.reclaimable.min(order.reclaimable));
        order.on_demand = order.on_demand.max(minimum);
    }
}

/// Returns the reclaimable servers per data centre that meet the target in all data centres
/// together and the minimum in all but one of them.
fn reclaimable_per_zone(config: &ScalingConfig, zones: usize, need: ServerNeed) -> u32 {
    let is_cheap = config.reclaimable_price.is_some_and(|price| price <= MAX_RECLAIMABLE_PRICE);
    if !is_cheap || zones == 0 {
        return 0;
    }
    let left = zones.saturating_sub(1).max(1);
    let per_zone = (need.target / zones as f64).max(need.minimum / left as f64);
    (per_zone.ceil() as u32).clamp(config.servers_min.max(1), config.servers_max.max(1))
}

/// Adds on-demand servers to the data centres in turn, the cheapest first.
fn add_on_demand(
    config: &ScalingConfig,
    zones: &[ZoneFleet],
    orders: &mut [ZoneOrder],
    missing: u32,
) {
    let mut by_price: Vec<usize> = (0..orders.len()).collect();
    by_price.sort_by(|a, b| price(config, &orders[*a]).total_cmp(&price(config, &orders[*b])));
    let mut left = missing;
    while left > 0 {
        let before = left;
        for index in &by_price {
            let order = &mut orders[*index];
            // Ordered reclaimable servers that are not there leave room for on-demand ones.
            let taken = zones[*index].reclaimable.min(order.reclaimable);
            if left > 0 && order.on_demand + taken < config.servers_max {
                order.on_demand += 1;
                left -= 1;
            }
        }
        if left == before {
            return;
        }
    }
}

fn price(config: &ScalingConfig, order: &ZoneOrder) -> f64 {
    let index = config.zone_prices.binary_search_by(|(zone, _)| zone.cmp(&order.zone));
    index.map_or(1.0, |index| config.zone_prices[index].1)
}

/// Estimates the busy servers from the present ones, for a node that has not measured the demand
/// for long enough.
///
/// On-demand servers found at the start are usually more than enough, so only a share of them
/// counts. Reclaimable servers were ordered in equal number for each data centre, including those
/// that have lost theirs since.
pub fn estimate_busy_servers(zones: &[ZoneFleet]) -> f64 {
    let on_demand: u32 = zones.iter().map(|fleet| fleet.on_demand).sum();
    let largest = zones.iter().map(|fleet| fleet.reclaimable).max().unwrap_or(0);
    let reclaimable = f64::from(largest) * zones.len() as f64;
    (f64::from(on_demand) * INITIAL_UTILIZATION).max(reclaimable * TARGET_UTILIZATION)
}

/// Raises orders to the present servers, for a node that has not measured the demand for long
/// enough.
///
/// On-demand servers are kept only if `keep_on_demand` is set, because the first start of the
/// system finds more of them than are needed.
pub fn keep_present_servers(orders: &mut [ZoneOrder], zones: &[ZoneFleet], keep_on_demand: bool) {
    for (order, fleet) in orders.iter_mut().zip(zones) {
        order.reclaimable = order.reclaimable.max(fleet.reclaimable);
        if keep_on_demand {
            order.on_demand = order.on_demand.max(fleet.on_demand);
        }
    }
}
