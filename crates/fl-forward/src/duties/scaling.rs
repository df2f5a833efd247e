//! Orders of backend servers: what the demand needs, re-sent until it is there.

use crate::clock::boot_time;
use crate::log::event::FleetOrdered;
use crate::node::Node;
use fl_fleet::demand::DemandMeter;
use fl_fleet::scaling::{
    ServerNeed, ZoneFleet, ZoneOrder, estimate_busy_servers, keep_present_servers, plan,
};
use fl_kernel::forward::{DutyLease, FleetOrder, OrderOutcome, PlatformError};
use fl_protocol::ServiceName;
use fl_protocol::forward::{ScalingConfig, ServerEntry};
use std::time::Duration;

/// Time between two looks at the demand.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats after which all living servers have registered.
const REGISTRATION_HEARTBEATS: u32 = 4;
/// How much longer than the boot an order may take before it is given again.
const ORDER_MARGIN: Duration = Duration::from_millis(2500);
/// How long a data centre that had no reclaimable servers is not asked again.
const DECLINED_DELAY: Duration = Duration::from_millis(3000);
const MS_PER_S: f64 = 1000.0;

/// What was measured at this node, and what it ordered under its lease.
#[derive(Debug, Default)]
pub struct Orders {
    fencing: u64,
    looked_at: Duration,
    /// The digest of the servers that were there then.
    servers: u64,
    services: Vec<ServiceState>,
}

/// One service whose fleet may be ordered.
#[derive(Debug)]
struct ServiceState {
    name: ServiceName,
    meter: DemandMeter,
    /// The last order of each kind in each data centre under this lease.
    given: Vec<SentOrder>,
}

/// The last order of one kind in one data centre.
#[derive(Debug)]
struct SentOrder {
    order: FleetOrder,
    at: Duration,
    outcome: Option<OrderOutcome>,
}

/// An order as it should be, and what is there of it.
#[derive(Debug)]
struct Wish {
    order: FleetOrder,
    present: u32,
}

/// What a data centre shall have, by kind of server; on-demand ones only once all have registered,
/// since what is not seen yet must not be ordered away.
fn wishes(service: &str, wanted: &ZoneOrder, fleet: &ZoneFleet, all_registered: bool) -> Vec<Wish> {
    let wish = |reclaimable, servers, present| Wish {
        order: FleetOrder {
            service: service.to_string(),
            zone: wanted.zone.clone(),
            reclaimable,
            servers,
        },
        present,
    };
    let mut wishes = vec![wish(true, wanted.reclaimable, fleet.reclaimable)];
    if all_registered {
        wishes.push(wish(false, wanted.on_demand, fleet.on_demand));
    }
    wishes
}

/// Measures the demand of each service whose fleet may be ordered, whoever holds the duty.
pub fn measure_demand(node: &Node, orders: &mut Orders) {
    let now = boot_time();
    let table = node.route_table.current();
    let read_tokens_per_s = prefill_rate(node) * MS_PER_S;
    for service in table.services.iter().filter(|service| service.scaling.is_some()) {
        // Long answers fill a server's places while it reads little.
        let places = node.servers.occupied_servers(&service.name);
        let busy = |tokens_per_s: f64| {
            (tokens_per_s / read_tokens_per_s.max(f64::MIN_POSITIVE)).max(places)
        };
        let total = node.servers.demand(&service.name) + node.peers.demand(&service.name);
        orders.state(&service.name).meter.record_total(now, total, busy);
    }
}

/// The rate at which servers read prompts, in tokens a millisecond: the mean of what all nodes
/// observed, since one node sees few long prompts.
fn prefill_rate(node: &Node) -> f64 {
    let own = node.servers.prefill_rate();
    let mut rates = node.peers.prefill_rates();
    rates.extend(own.learned());
    if rates.is_empty() {
        return own.tokens_per_ms();
    }
    rates.iter().sum::<f64>() / rates.len() as f64
}

/// Orders what is needed and not there.
pub async fn send_due_orders(
    node: &Node,
    token: &DutyLease,
    orders: &mut Orders,
) -> Result<(), PlatformError> {
    let now = boot_time();
    if orders.fencing != token.fencing {
        orders.begin(token.fencing);
    }
    let digest = node.servers.digest();
    if now.saturating_sub(orders.looked_at) < CHECK_INTERVAL && orders.servers == digest {
        return Ok(());
    }
    orders.looked_at = now;
    orders.servers = digest;
    let since_start = now.saturating_sub(node.started_at);
    let all_registered = since_start >= node.settings.server_heartbeat * REGISTRATION_HEARTBEATS;
    let table = node.route_table.current();
    let servers = node.servers.usable();
    for service in &table.services {
        let Some(facts) = &service.scaling else { continue };
        let of_service = |entry: &&ServerEntry| entry.service == service.name;
        let present: Vec<&ServerEntry> = servers.iter().filter(of_service).collect();
        let state = orders.state(&service.name);
        let zones = zone_fleets(node, facts, &present);
        let is_settled = state.meter.has_enough_history(now);
        if !is_settled {
            state.meter.assume_at_least(estimate_busy_servers(&zones));
        }
        let need = ServerNeed::from_busy_servers(
            state.meter.peak(),
            state.meter.recent_peak(now, facts.boot_time),
        );
        let mut planned = plan(facts, &zones, need);
        if !is_settled {
            keep_present_servers(&mut planned, &zones, !node.settings.is_first_start);
        }
        for (order, fleet) in planned.iter().zip(&zones) {
            for wish in wishes(&service.name, order, fleet, all_registered) {
                if state.is_due(&wish, facts) {
                    state.send(node, token, wish, need).await?;
                }
            }
        }
    }
    Ok(())
}

/// What each data centre has of a service.
fn zone_fleets(node: &Node, facts: &ScalingConfig, present: &[&ServerEntry]) -> Vec<ZoneFleet> {
    let mut names: Vec<String> = facts.zone_prices.iter().map(|(zone, _)| zone.clone()).collect();
    if names.is_empty() {
        names = node.settings.zones.clone();
    }
    let count = |zone: &str, reclaimable: bool| {
        let matching =
            |entry: &&&ServerEntry| entry.zone == zone && entry.reclaimable == reclaimable;
        present.iter().filter(matching).count() as u32
    };
    let fleet = |zone: String| ZoneFleet {
        on_demand: count(&zone, false),
        reclaimable: count(&zone, true),
        zone,
    };
    names.into_iter().map(fleet).collect()
}

impl Orders {
    /// Begins anew under another lease; what was measured stays true.
    fn begin(&mut self, fencing: u64) {
        self.fencing = fencing;
        for state in &mut self.services {
            state.given.clear();
        }
    }

    fn state(&mut self, service: &str) -> &mut ServiceState {
        let place = self.services.binary_search_by(|state| state.name.as_str().cmp(service));
        let place = place.unwrap_or_else(|place| {
            let name = service.to_string();
            let state = ServiceState { name, meter: DemandMeter::default(), given: Vec::new() };
            self.services.insert(place, state);
            place
        });
        &mut self.services[place]
    }
}

impl ServiceState {
    /// Whether an order differs from the last one, or the last one came to nothing.
    fn is_due(&self, wish: &Wish, facts: &ScalingConfig) -> bool {
        let now = boot_time();
        let Wish { order, present } = wish;
        let same_place = |given: &&SentOrder| {
            given.order.zone == order.zone && given.order.reclaimable == order.reclaimable
        };
        let Some(last) = self.given.iter().find(same_place) else {
            return order.servers != *present;
        };
        let age = now.saturating_sub(last.at);
        match last.outcome {
            Some(OrderOutcome::Declined) => order.servers != *present && age >= DECLINED_DELAY,
            Some(OrderOutcome::Accepted) if last.order == *order => {
                order.servers != *present && age >= facts.boot_time + ORDER_MARGIN
            }
            Some(OrderOutcome::Accepted) => true,
            None => age >= ORDER_MARGIN,
        }
    }

    async fn send(
        &mut self,
        node: &Node,
        token: &DutyLease,
        wish: Wish,
        need: ServerNeed,
    ) -> Result<(), PlatformError> {
        let Wish { order, present } = wish;
        let Some(duties) = &node.platform.duties else { return Ok(()) };
        let sent = duties.order(token, &order).await;
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
            fencing: token.fencing,
            outcome: &outcome,
        });
        self.given.retain(|given| {
            given.order.zone != order.zone || given.order.reclaimable != order.reclaimable
        });
        let given = SentOrder { order, at: boot_time(), outcome: sent.as_ref().ok().copied() };
        self.given.push(given);
        sent.map(|_| ())
    }
}
