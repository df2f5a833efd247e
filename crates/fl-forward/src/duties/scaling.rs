//! Orders of backend servers for the measured demand, sent again until the servers are there.

use super::call_timer::CallTimer;
use crate::clock::boot_time;
use crate::log::event::FleetOrdered;
use crate::node::Node;
use fl_fleet::demand::DemandMeter;
use fl_fleet::scaling::{
    ServerNeed, ZoneFleet, ZoneOrder, estimate_busy_servers, keep_present_servers, plan_orders,
};
use fl_kernel::forward::{DutyLease, FleetOrder, OrderOutcome, PlatformError};
use fl_protocol::ServiceName;
use fl_protocol::forward::{ScalingConfig, ServerEntry, ServerName};
use std::time::Duration;

/// Interval at which orders are checked while the list of servers does not change.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats after this node's start by which all live servers have registered.
const REGISTRATION_HEARTBEATS: u32 = 4;
/// Time beyond the boot time after which an unfilled order is sent again. An order whose call
/// failed is sent again after this time alone.
const ORDER_MARGIN: Duration = Duration::from_millis(2500);
/// How long a data centre that declined an order, as it had no reclaimable servers, is not asked
/// again.
const DECLINED_DELAY: Duration = Duration::from_millis(3000);
const MS_PER_S: f64 = 1000.0;

/// The demand measured at this node and the orders it sent under its lease.
#[derive(Debug, Default)]
pub struct OrderState {
    /// The fencing token of the lease under which the orders were sent.
    fencing_token: u64,
    checked_at: Duration,
    /// The digest of the list of servers at the last check.
    servers_digest: u64,
    services: Vec<ServiceState>,
}

/// The demand and the orders of a service that scales.
#[derive(Debug)]
struct ServiceState {
    name: ServiceName,
    meter: DemandMeter,
    /// The last order for each data centre and kind of server under this lease.
    sent_orders: Vec<SentOrder>,
}

/// The last order for one data centre and kind of server.
#[derive(Debug)]
struct SentOrder {
    order: FleetOrder,
    sent_at: Duration,
    outcome: Option<OrderOutcome>,
}

/// An order that the plan requires, and the number of servers present.
#[derive(Debug)]
struct RequiredOrder {
    order: FleetOrder,
    present: u32,
}

/// Returns the orders that a plan requires for a data centre, by kind of server.
///
/// On-demand servers are ordered only once all servers have registered. Otherwise an order would
/// remove servers that are not listed yet.
fn required_orders(
    service: &str,
    planned_zone: &ZoneOrder,
    fleet: &ZoneFleet,
    all_registered: bool,
) -> Vec<RequiredOrder> {
    let required = |reclaimable, servers, present| RequiredOrder {
        order: FleetOrder {
            service: service.to_string(),
            zone: planned_zone.zone.clone(),
            reclaimable,
            servers,
        },
        present,
    };
    let mut required_orders = vec![required(true, planned_zone.reclaimable, fleet.reclaimable)];
    if all_registered {
        required_orders.push(required(false, planned_zone.on_demand, fleet.on_demand));
    }
    required_orders
}

/// Measures the demand of each service that scales. Every node does, whether or not it holds the
/// lease.
pub fn measure_demand(node: &Node, orders: &mut OrderState) {
    let now = boot_time();
    let table = node.route_table.current();
    let prefill_tokens_per_s = prefill_rate(node) * MS_PER_S;
    for service in table.services.iter().filter(|service| service.scaling.is_some()) {
        // Long responses occupy a server's slots while it prefills little.
        let occupied = node.servers.occupied_servers(&service.name);
        let busy_servers = |tokens_per_s: f64| {
            (tokens_per_s / prefill_tokens_per_s.max(f64::MIN_POSITIVE)).max(occupied)
        };
        let total = node.servers.demand(&service.name) + node.peers.demand(&service.name);
        orders.service_state(&service.name).meter.record_total(now, total, busy_servers);
    }
}

/// Returns the prefill rate of servers in tokens per millisecond, averaged over the rates that all
/// nodes observed, since one node sees few long prompts.
fn prefill_rate(node: &Node) -> f64 {
    let own = node.servers.prefill_rate();
    let mut rates = node.peers.prefill_rates();
    rates.extend(own.observed());
    if rates.is_empty() {
        return own.tokens_per_ms();
    }
    rates.iter().sum::<f64>() / rates.len() as f64
}

/// Sends the orders that are due.
pub async fn send_due_orders(
    node: &Node,
    duty_lease: &DutyLease,
    orders: &mut OrderState,
) -> Result<(), PlatformError> {
    let now = boot_time();
    if orders.fencing_token != duty_lease.fencing {
        orders.reset_orders(duty_lease.fencing);
    }
    if now < duty_lease.sends_from {
        return Ok(());
    }
    let digest = node.servers.digest();
    if now.saturating_sub(orders.checked_at) < CHECK_INTERVAL && orders.servers_digest == digest {
        return Ok(());
    }
    orders.checked_at = now;
    orders.servers_digest = digest;
    let since_start = now.saturating_sub(node.started_at);
    let all_registered = since_start >= node.settings.server_heartbeat * REGISTRATION_HEARTBEATS;
    let table = node.route_table.current();
    let servers = node.servers.usable();
    for service in &table.services {
        let Some(scaling) = &service.scaling else { continue };
        let of_service = |entry: &&ServerEntry| entry.service == service.name;
        let present: Vec<&ServerEntry> = servers.iter().filter(of_service).collect();
        let state = orders.service_state(&service.name);
        let zones = zone_fleets(node, scaling, &present);
        let has_enough_history = state.meter.has_enough_history(now);
        if !has_enough_history {
            state.meter.assume_at_least(estimate_busy_servers(&zones));
        }
        let need = ServerNeed::from_busy_servers(
            state.meter.peak(),
            state.meter.recent_peak(now, scaling.boot_time),
        );
        let mut planned = plan_orders(scaling, &zones, need);
        if !has_enough_history {
            keep_present_servers(&mut planned, &zones, !node.settings.is_first_start);
        }
        let required_orders = planned.iter().zip(&zones).flat_map(|(order, fleet)| {
            required_orders(&service.name, order, fleet, all_registered)
        });
        // The servers of both versions are counted, and none of them may be removed meanwhile.
        let is_rolled_out = node.rollouts.is_under_way(&service.name);
        let required_orders = required_orders
            .filter(|required| !is_rolled_out || required.order.servers > required.present);
        for required in state.due_orders(required_orders, scaling) {
            state.send_order(node, duty_lease, required, need).await?;
        }
    }
    Ok(())
}

/// Returns the servers of a service by data centre and kind.
fn zone_fleets(node: &Node, scaling: &ScalingConfig, present: &[&ServerEntry]) -> Vec<ZoneFleet> {
    let mut names: Vec<String> = scaling.zone_prices.iter().map(|(zone, _)| zone.clone()).collect();
    if names.is_empty() {
        names = node.settings.zones.clone();
    }
    let paces = node.servers.paces();
    let fleet = |zone: String| {
        let (on_demand, on_demand_pace) = count_servers(present, &paces, &zone, false);
        let (reclaimable, reclaimable_pace) = count_servers(present, &paces, &zone, true);
        ZoneFleet { zone, on_demand, reclaimable, on_demand_pace, reclaimable_pace }
    };
    names.into_iter().map(fleet).collect()
}

/// Returns the number of servers of a kind in a data centre and their mean pace.
fn count_servers(
    present: &[&ServerEntry],
    paces: &[(ServerName, f64)],
    zone: &str,
    reclaimable: bool,
) -> (u32, f64) {
    let matching = |entry: &&&ServerEntry| entry.zone == zone && entry.reclaimable == reclaimable;
    let pace = |entry: &&ServerEntry| {
        let index = paces.binary_search_by(|(server, _)| server.cmp(&entry.name));
        index.map_or(1.0, |index| paces[index].1)
    };
    let paces: Vec<f64> = present.iter().filter(matching).map(pace).collect();
    let mean_pace = match paces.is_empty() {
        true => 1.0,
        false => paces.iter().sum::<f64>() / paces.len() as f64,
    };
    (paces.len() as u32, mean_pace)
}

impl OrderState {
    /// Forgets the orders sent under an earlier lease. The measured demand is kept.
    fn reset_orders(&mut self, fencing_token: u64) {
        self.fencing_token = fencing_token;
        for state in &mut self.services {
            state.sent_orders.clear();
        }
    }

    fn service_state(&mut self, service: &str) -> &mut ServiceState {
        let index = self.services.binary_search_by(|state| state.name.as_str().cmp(service));
        let index = index.unwrap_or_else(|index| {
            let name = service.to_string();
            let state =
                ServiceState { name, meter: DemandMeter::default(), sent_orders: Vec::new() };
            self.services.insert(index, state);
            index
        });
        &mut self.services[index]
    }
}

impl ServiceState {
    /// Returns the orders that have to be sent, those first that were sent longest ago or never. While
    /// the platform is slow, some are sent before the lease has to be renewed, and the next time
    /// others have their turn.
    fn due_orders(
        &self,
        required_orders: impl Iterator<Item = RequiredOrder>,
        scaling: &ScalingConfig,
    ) -> Vec<RequiredOrder> {
        let mut due: Vec<RequiredOrder> =
            required_orders.filter(|required| self.is_due(required, scaling)).collect();
        due.sort_by_key(|required| self.last_sent(&required.order).map(|last| last.sent_at));
        due
    }

    /// Returns the last order for the same data centre and kind of server.
    fn last_sent(&self, order: &FleetOrder) -> Option<&SentOrder> {
        let same_target = |sent_order: &&SentOrder| {
            sent_order.order.zone == order.zone && sent_order.order.reclaimable == order.reclaimable
        };
        self.sent_orders.iter().find(same_target)
    }

    /// Returns whether an order has to be sent: it differs from the last one, or the last one was
    /// not filled.
    fn is_due(&self, required: &RequiredOrder, scaling: &ScalingConfig) -> bool {
        let now = boot_time();
        let RequiredOrder { order, present } = required;
        let Some(last) = self.last_sent(order) else { return order.servers != *present };
        let age = now.saturating_sub(last.sent_at);
        match last.outcome {
            Some(OrderOutcome::Declined) => order.servers != *present && age >= DECLINED_DELAY,
            Some(OrderOutcome::Accepted) if last.order == *order => {
                order.servers != *present && age >= scaling.boot_time + ORDER_MARGIN
            }
            Some(OrderOutcome::Accepted) => true,
            None => age >= ORDER_MARGIN,
        }
    }

    async fn send_order(
        &mut self,
        node: &Node,
        duty_lease: &DutyLease,
        required: RequiredOrder,
        need: ServerNeed,
    ) -> Result<(), PlatformError> {
        let RequiredOrder { order, present } = required;
        let Some(duties) = &node.platform.duties else { return Ok(()) };
        duty_lease.check(boot_time())?;
        let timer = CallTimer::start("fleet order", duty_lease);
        let sent = duties.order_servers(duty_lease, &order).await;
        let took_ms = timer.stop(sent.as_ref().err());
        if sent.as_ref().is_err_and(PlatformError::is_outside_lease) {
            // The order is due as before, so that it is sent once the lease is renewed.
            return sent.map(|_| ());
        }
        let outcome = match &sent {
            Ok(OrderOutcome::Accepted) => "taken".to_string(),
            Ok(OrderOutcome::Declined) => "declined".to_string(),
            Err(error) => error.to_string(),
        };
        node.log.write(&FleetOrdered {
            service: &order.service,
            data_centre: &order.zone,
            reclaimable: order.reclaimable,
            wanted: order.servers,
            present,
            needed_ample: need.target,
            needed_least: need.minimum,
            read_tokens_per_ms: prefill_rate(node),
            fencing: duty_lease.fencing,
            lease_left_ms: timer.lease_left_ms(),
            took_ms,
            outcome: &outcome,
        });
        self.sent_orders.retain(|sent_order| {
            sent_order.order.zone != order.zone || sent_order.order.reclaimable != order.reclaimable
        });
        let sent_order =
            SentOrder { order, sent_at: boot_time(), outcome: sent.as_ref().ok().copied() };
        self.sent_orders.push(sent_order);
        sent.map(|_| ())
    }
}
