//! Orders of backend servers: what the demand needs, re-sent until it is there.

use crate::clock::boot_time;
use crate::log::event::FleetOrdered;
use crate::node::Node;
use fl_fleet::scaling::{ZoneFleet, ZoneOrder, plan};
use fl_kernel::forward::{DutyToken, FleetOrder, OrderOutcome, PlatformError};
use fl_protocol::ServiceName;
use fl_protocol::forward::{BackendService, ScalingFacts, ServerEntry};
use std::time::Duration;

/// Time between two looks at the demand.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats after which all living servers have registered.
const REGISTRATION_HEARTBEATS: u32 = 4;
/// Time over which the demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(4000);
/// How long the highest demand seen stays the measure, so that a wave's trough orders nothing away.
const DEMAND_MEMORY: Duration = Duration::from_secs(20);
/// Share of a server's time that reads prompts when a first token still comes soon.
const BUSY_SHARE: f64 = 0.4;
/// Share of the servers found at the start that the demand is assumed to keep busy before any was
/// measured.
const FIRST_BUSY_SHARE: f64 = 0.7;
/// How much longer than the boot an order may take before it is given again.
const ORDER_MARGIN: Duration = Duration::from_millis(2500);
/// How long a data centre that had no reclaimable servers is not asked again.
const DRY_PAUSE: Duration = Duration::from_millis(3000);
const MS_PER_S: f64 = 1000.0;

/// What was ordered and measured under one lease.
#[derive(Debug, Default)]
pub struct Orders {
    fencing: u64,
    looked_at: Duration,
    services: Vec<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    name: ServiceName,
    /// Totals of tokens sent to be read, with their times.
    totals: Vec<(Duration, u64)>,
    /// Measured needs, with their times.
    needs: Vec<(Duration, f64)>,
    /// What the servers found at the start suggest, until the demand was measured for a while.
    first_need: f64,
    given: Vec<Given>,
}

/// The last order of one kind in one data centre.
#[derive(Debug)]
struct Given {
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

/// What a data centre shall have, by kind of server; lasting ones only once all have registered,
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
        wishes.push(wish(false, wanted.lasting, fleet.lasting));
    }
    wishes
}

/// Orders what is needed and not there.
pub async fn perform(
    node: &Node,
    token: &DutyToken,
    orders: &mut Orders,
) -> Result<(), PlatformError> {
    let now = boot_time();
    if orders.fencing != token.fencing {
        *orders = Orders { fencing: token.fencing, ..Orders::default() };
    }
    if now.saturating_sub(orders.looked_at) < LOOK_INTERVAL {
        return Ok(());
    }
    let since_start = now.saturating_sub(node.started_at);
    let all_registered = since_start >= node.settings.server_heartbeat * REGISTRATION_HEARTBEATS;
    orders.looked_at = now;
    let table = node.declared.table();
    let servers = node.servers.usable();
    for service in &table.services {
        let Some(facts) = &service.scaling else { continue };
        let of_service = |entry: &&ServerEntry| entry.service == service.name;
        let present: Vec<&ServerEntry> = servers.iter().filter(of_service).collect();
        let lasting = present.iter().filter(|entry| !entry.reclaimable).count();
        let state = orders.state(service, lasting);
        let needed = state.measure(node, now);
        let zones = state.zones(node, facts, &present, now);
        for (order, fleet) in plan(facts, &zones, needed).iter().zip(&zones) {
            for wish in wishes(&service.name, order, fleet, all_registered) {
                if state.is_due(&wish, facts) {
                    state.send(node, token, wish, needed).await?;
                }
            }
        }
    }
    Ok(())
}

impl Orders {
    fn state(&mut self, service: &BackendService, lasting: usize) -> &mut ServiceState {
        let place = self.services.binary_search_by(|state| state.name.cmp(&service.name));
        let place = place.unwrap_or_else(|place| {
            self.services.insert(
                place,
                ServiceState {
                    name: service.name.clone(),
                    totals: Vec::new(),
                    needs: Vec::new(),
                    first_need: 0.0,
                    given: Vec::new(),
                },
            );
            place
        });
        let state = &mut self.services[place];
        let suggested = lasting as f64 * FIRST_BUSY_SHARE;
        state.first_need = state.first_need.max(suggested);
        state
    }
}

impl ServiceState {
    /// Servers that the demand of the last while keeps busy at a good pace.
    fn measure(&mut self, node: &Node, now: Duration) -> f64 {
        let own = node.servers.demand();
        let own = own.iter().find(|(name, _)| *name == self.name).map_or(0, |(_, tokens)| *tokens);
        let total = own + node.peers.demand(&self.name);
        // A peer that started anew counts from zero, so a lower total begins a new measurement.
        if self.totals.last().is_some_and(|(_, last)| total < *last) {
            self.totals.clear();
        }
        self.totals.push((now, total));
        let span_start = now.saturating_sub(DEMAND_SPAN);
        let old = self.totals.iter().take_while(|(at, _)| *at < span_start).count();
        self.totals.drain(..old.saturating_sub(1));
        if let (Some((from, first)), true) = (self.totals.first(), total > 0) {
            if self.needs.is_empty() {
                // Demand that has just begun says little, so what was assumed holds on for a while.
                self.needs.push((now, self.first_need));
            }
            let elapsed = now.saturating_sub(*from);
            if elapsed >= DEMAND_SPAN {
                let tokens_per_s = (total - first) as f64 / elapsed.as_secs_f64();
                let busy = node.servers.read_rate().read_ms(tokens_per_s as u64) / MS_PER_S;
                self.needs.push((now, busy / BUSY_SHARE));
            }
        }
        self.needs.retain(|(at, _)| now.saturating_sub(*at) < DEMAND_MEMORY);
        let highest = self.needs.iter().map(|(_, need)| *need).fold(0.0, f64::max);
        if self.needs.is_empty() { self.first_need } else { highest }
    }

    fn zones(
        &self,
        node: &Node,
        facts: &ScalingFacts,
        present: &[&ServerEntry],
        now: Duration,
    ) -> Vec<ZoneFleet> {
        let mut names: Vec<String> =
            facts.zone_prices.iter().map(|(zone, _)| zone.clone()).collect();
        if names.is_empty() {
            names = node.settings.zones.clone();
        }
        let count = |zone: &str, reclaimable: bool| {
            let matching =
                |entry: &&&ServerEntry| entry.zone == zone && entry.reclaimable == reclaimable;
            present.iter().filter(matching).count() as u32
        };
        let fleet = |zone: String| ZoneFleet {
            lasting: count(&zone, false),
            reclaimable: count(&zone, true),
            is_dry: self.is_dry(&zone, now),
            zone,
        };
        names.into_iter().map(fleet).collect()
    }

    fn is_dry(&self, zone: &str, now: Duration) -> bool {
        self.given.iter().any(|given| {
            given.order.zone == zone
                && given.order.reclaimable
                && given.outcome == Some(OrderOutcome::Declined)
                && now.saturating_sub(given.at) < DRY_PAUSE
        })
    }

    /// Whether an order differs from the last one, or the last one came to nothing.
    fn is_due(&self, wish: &Wish, facts: &ScalingFacts) -> bool {
        let now = boot_time();
        let Wish { order, present } = wish;
        let same_place = |given: &&Given| {
            given.order.zone == order.zone && given.order.reclaimable == order.reclaimable
        };
        let Some(last) = self.given.iter().find(same_place) else {
            return order.servers != *present;
        };
        let age = now.saturating_sub(last.at);
        match last.outcome {
            Some(OrderOutcome::Declined) => order.servers != *present && age >= DRY_PAUSE,
            Some(OrderOutcome::Taken) if last.order == *order => {
                order.servers != *present && age >= facts.boot + ORDER_MARGIN
            }
            Some(OrderOutcome::Taken) => true,
            None => age >= ORDER_MARGIN,
        }
    }

    async fn send(
        &mut self,
        node: &Node,
        token: &DutyToken,
        wish: Wish,
        needed: f64,
    ) -> Result<(), PlatformError> {
        let Wish { order, present } = wish;
        let Some(duties) = &node.ports.duties else { return Ok(()) };
        let sent = duties.order(token, &order).await;
        let outcome = match &sent {
            Ok(OrderOutcome::Taken) => "taken".to_string(),
            Ok(OrderOutcome::Declined) => "declined".to_string(),
            Err(error) => error.to_string(),
        };
        node.log.write(&FleetOrdered {
            service: &order.service,
            data_centre: &order.zone,
            reclaimable: order.reclaimable,
            wanted: order.servers,
            present,
            demand: needed,
            fencing: token.fencing,
            outcome: &outcome,
        });
        self.given.retain(|given| {
            given.order.zone != order.zone || given.order.reclaimable != order.reclaimable
        });
        let given = Given { order, at: boot_time(), outcome: sent.as_ref().ok().copied() };
        self.given.push(given);
        sent.map(|_| ())
    }
}
