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

/// Difference of the mean pace of present servers from 1 from which they count by their pace. A
/// smaller one would make orders follow the noise of the paces.
const PACE_DIFFERENCE_MIN: f64 = 0.1;

/// Present servers of a service in one data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneFleet {
    /// Name of the data centre.
    pub zone: DataCenterName,
    /// Number of on-demand servers that take calls.
    pub on_demand: u32,
    /// Number of reclaimable servers that take calls.
    pub reclaimable: u32,
    /// Mean pace of the on-demand servers; 1 is the mean of the service.
    pub on_demand_pace: f64,
    /// Mean pace of the reclaimable servers.
    pub reclaimable_pace: f64,
}

impl ZoneFleet {
    /// Returns the reclaimable servers, `ordered` at most, as a number of servers of mean pace.
    fn reclaimable_capacity(&self, ordered: u32) -> f64 {
        f64::from(self.reclaimable.min(ordered)) * counted_pace(self.reclaimable_pace)
    }

    /// Returns the number of reclaimable servers that do the work of `needed` ones of mean pace:
    /// present ones by their pace, and further ones, of which nothing is known, by the mean.
    fn reclaimable_for(&self, needed: f64) -> f64 {
        servers_for(needed, self.reclaimable, counted_pace(self.reclaimable_pace))
    }
}

/// Returns the pace by which present servers count, given their mean pace.
fn counted_pace(pace: f64) -> f64 {
    if (pace - 1.0).abs() < PACE_DIFFERENCE_MIN { 1.0 } else { pace }
}

/// Returns how many servers do the work of `needed` ones of mean pace, of which `present` have this
/// pace and further ones the mean.
fn servers_for(needed: f64, present: u32, pace: f64) -> f64 {
    let at_pace = needed / pace;
    let present = f64::from(present);
    if at_pace <= present { at_pace } else { needed + present * (1.0 - pace) }
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
    let Some(per_zone) = reclaimable_per_zone(config, zones.len(), need) else {
        return on_demand_only(config, zones, need.on_demand_target);
    };
    let (least, most) = (config.servers_min.max(1), config.servers_max.max(1));
    let order = |fleet: &ZoneFleet| ZoneOrder {
        zone: fleet.zone.clone(),
        on_demand: 0,
        reclaimable: (fleet.reclaimable_for(per_zone).ceil() as u32).clamp(least, most),
    };
    let mut orders: Vec<ZoneOrder> = zones.iter().map(order).collect();
    let missing = count_missing(zones, &orders, need);
    fill_with_on_demand(config, zones, &mut orders, missing);
    orders
}

/// Returns how many servers the reclaimable ones fall short of the minimum, now or after the data
/// centre with the most of them loses them.
///
/// The result is a number of on-demand servers: those present count by their pace.
fn count_missing(zones: &[ZoneFleet], orders: &[ZoneOrder], need: ServerNeed) -> u32 {
    let fleets = zones.iter().zip(orders);
    let ready = fleets.map(|(fleet, order)| fleet.reclaimable_capacity(order.reclaimable));
    let largest = ready.clone().fold(0.0, f64::max);
    let ready: f64 = ready.sum();
    let after_loss = (need.minimum * MIN_SHARE_AFTER_LOSS).ceil();
    let missing_now = need.minimum.ceil() - ready;
    on_demand_for(zones, missing_now.max(after_loss - (ready - largest)).max(0.0))
}

/// Returns the number of on-demand servers that do the work of `needed` ones of mean pace.
fn on_demand_for(zones: &[ZoneFleet], needed: f64) -> u32 {
    let present: u32 = zones.iter().map(|fleet| fleet.on_demand).sum();
    let paces = zones.iter().map(|fleet| f64::from(fleet.on_demand) * fleet.on_demand_pace);
    let mean_pace = paces.sum::<f64>() / f64::from(present.max(1));
    let pace = if present > 0 { counted_pace(mean_pace) } else { 1.0 };
    servers_for(needed, present, pace).ceil() as u32
}

fn on_demand_only(config: &ScalingConfig, zones: &[ZoneFleet], needed: f64) -> Vec<ZoneOrder> {
    let mut orders: Vec<ZoneOrder> = zones
        .iter()
        .map(|fleet| ZoneOrder { zone: fleet.zone.clone(), on_demand: 0, reclaimable: 0 })
        .collect();
    fill_with_on_demand(config, zones, &mut orders, on_demand_for(zones, needed));
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

/// Returns the reclaimable servers of mean pace per data centre that meet the target in all data
/// centres together and the minimum in all but one of them; `None` if none are to be ordered.
fn reclaimable_per_zone(config: &ScalingConfig, zones: usize, need: ServerNeed) -> Option<f64> {
    let is_cheap = config.reclaimable_price.is_some_and(|price| price <= MAX_RECLAIMABLE_PRICE);
    if !is_cheap || zones == 0 {
        return None;
    }
    let left = zones.saturating_sub(1).max(1);
    Some((need.target / zones as f64).max(need.minimum / left as f64))
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
