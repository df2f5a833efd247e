//! Prints what three ways of buying VMs cost on the same trace of prices, waves and demand.
//!
//! ```text
//! cargo run --release -p fl-fleet --example fleet_cost
//! ```

#![allow(missing_docs)]

use fl_fleet::capacity::{Demand, MachineClass, Purchase, plan, surplus};
use fl_fleet::offers::{Offer, OfferHealth};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const STEP: Duration = Duration::from_secs(60);
const STEPS: u32 = 24 * 60;
const SEEDS: u64 = 10;
const ZONES: usize = 3;
const CALLS_PER_VM: u32 = 10;
const ON_DEMAND_PRICE: u64 = 100_000;
/// Steps from an order to a VM that serves.
const START_STEPS: u32 = 3;
/// Steps during which a zone refuses reclaimable VMs after a wave.
const REFUSING_STEPS: u32 = 30;
const WAVES_PER_DAY: f64 = 4.0;
/// The step at which one zone is lost whole, and for how long.
const LOSS_AT: u32 = 700;
const LOSS_STEPS: u32 = 30;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Spread,
    OnDemand,
    CheapestZone,
}

/// One minute of the trace.
struct Minute {
    reclaimable_prices: [u64; ZONES],
    counter_calls_per_s: u32,
    total_calls_per_s: u32,
    wave: Option<usize>,
    lost: Option<usize>,
}

#[derive(Clone)]
struct Batch {
    offer: Offer,
    zone: usize,
    vms: u32,
    serves_at: u32,
}

#[derive(Default)]
struct Result {
    cost_millicents: f64,
    counter_calls: u64,
    within: u64,
    worst_percent: f64,
}

fn main() {
    println!("| policy | cost a day, dollars | counter calls within target, % | worst minute, % |");
    println!("|---|---|---|---|");
    let policies = [
        ("spread by price at the target", Policy::Spread),
        ("all on demand, spread evenly", Policy::OnDemand),
        ("cheapest zone only", Policy::CheapestZone),
    ];
    for (name, policy) in policies {
        let results: Vec<Result> = (0..SEEDS).map(|seed| run(policy, &trace(seed))).collect();
        let days = results.len() as f64;
        let cost = results.iter().map(|r| r.cost_millicents).sum::<f64>() / days / 100_000.0;
        let calls = results.iter().map(|r| r.counter_calls).sum::<u64>();
        let within = results.iter().map(|r| r.within).sum::<u64>();
        let worst = results.iter().map(|r| r.worst_percent).fold(100.0, f64::min);
        let percent = 100.0 * within as f64 / calls as f64;
        println!("| {name} | {cost:.2} | {percent:.2} | {worst:.0} |");
    }
}

fn trace(seed: u64) -> Vec<Minute> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut shares = [0.35, 0.40, 0.45];
    let lost_zone = random.random_range(0..ZONES);
    let mut minutes = Vec::new();
    for step in 0..STEPS {
        for share in &mut shares {
            *share = f64::clamp(*share + random.random_range(-0.01..0.01), 0.2, 0.7);
        }
        let day = f64::from(step) / f64::from(STEPS) * std::f64::consts::TAU;
        let load = 0.6 - 0.4 * day.cos();
        let wave = random.random_bool(WAVES_PER_DAY / f64::from(STEPS));
        let lost = (LOSS_AT..LOSS_AT + LOSS_STEPS).contains(&step);
        minutes.push(Minute {
            reclaimable_prices: shares.map(|share| (share * ON_DEMAND_PRICE as f64) as u64),
            counter_calls_per_s: (80.0 * load) as u32,
            total_calls_per_s: (200.0 * load) as u32,
            wave: wave.then(|| random.random_range(0..ZONES)),
            lost: lost.then_some(lost_zone),
        });
    }
    minutes
}

fn run(policy: Policy, trace: &[Minute]) -> Result {
    let mut result = Result { worst_percent: 100.0, ..Result::default() };
    let mut running: Vec<Batch> = Vec::new();
    let mut health = OfferHealth::default();
    let mut refuses_until = [0u32; ZONES];
    for (step, minute) in (0u32..).zip(trace) {
        let now = STEP * step;
        strike(minute, step, now, &mut running, &mut health, &mut refuses_until);
        let wanted = wanted(policy, minute, &health, now);
        shrink(&mut running, &wanted, step);
        grow(&mut running, &wanted, minute, step, now, &mut health, &refuses_until);
        account(&mut result, &running, minute, step);
    }
    result
}

/// Takes back or loses the VMs that the trace says.
fn strike(
    minute: &Minute,
    step: u32,
    now: Duration,
    running: &mut Vec<Batch>,
    health: &mut OfferHealth,
    refuses_until: &mut [u32; ZONES],
) {
    if let Some(zone) = minute.wave {
        refuses_until[zone] = step + REFUSING_STEPS;
        health.reclaimed(&offer(zone, true, minute), 1, 1, now);
        running.retain(|batch| batch.zone != zone || !batch.offer.reclaimable);
    }
    if let Some(zone) = minute.lost {
        running.retain(|batch| batch.zone != zone);
    }
}

fn wanted(policy: Policy, minute: &Minute, health: &OfferHealth, now: Duration) -> Vec<Purchase> {
    let zones = 0..ZONES;
    let offers: Vec<Offer> = match policy {
        Policy::Spread => {
            let both =
                zones.flat_map(|zone| [offer(zone, true, minute), offer(zone, false, minute)]);
            both.collect()
        }
        Policy::OnDemand => {
            let vms = minute.total_calls_per_s.div_ceil(CALLS_PER_VM * ZONES as u32);
            return zones.map(|zone| Purchase { offer: offer(zone, false, minute), vms }).collect();
        }
        Policy::CheapestZone => {
            let cheapest = zones.min_by_key(|zone| minute.reclaimable_prices[*zone]).unwrap_or(0);
            let vms = minute.total_calls_per_s.div_ceil(CALLS_PER_VM);
            return vec![Purchase { offer: offer(cheapest, true, minute), vms }];
        }
    };
    let class = MachineClass {
        name: "standard".to_string(),
        calls_per_s: CALLS_PER_VM,
        first_token_ms: 200,
    };
    let demand = Demand {
        counter_calls_per_s: minute.counter_calls_per_s,
        total_calls_per_s: minute.total_calls_per_s,
        first_token_target_ms: 470,
    };
    plan(&offers, &[class], demand, health, now)
}

/// Stops what is no longer wanted, once what is wanted serves.
fn shrink(running: &mut Vec<Batch>, wanted: &[Purchase], step: u32) {
    let mut serving: Vec<Purchase> = Vec::new();
    for batch in running.iter().filter(|batch| step >= batch.serves_at) {
        match serving.iter_mut().find(|purchase| purchase.offer.is_same(&batch.offer)) {
            Some(purchase) => purchase.vms += batch.vms,
            None => serving.push(Purchase { offer: batch.offer.clone(), vms: batch.vms }),
        }
    }
    for mut stopped in surplus(wanted, &serving) {
        for batch in running.iter_mut().filter(|batch| batch.offer.is_same(&stopped.offer)) {
            let vms = batch.vms.min(stopped.vms);
            batch.vms -= vms;
            stopped.vms -= vms;
        }
    }
    running.retain(|batch| batch.vms > 0);
}

fn grow(
    running: &mut Vec<Batch>,
    wanted: &[Purchase],
    minute: &Minute,
    step: u32,
    now: Duration,
    health: &mut OfferHealth,
    refuses_until: &[u32; ZONES],
) {
    for purchase in wanted {
        let there = running.iter().filter(|batch| batch.offer.is_same(&purchase.offer));
        let missing = purchase.vms.saturating_sub(there.map(|batch| batch.vms).sum());
        if missing == 0 {
            continue;
        }
        let zone = zone_of(&purchase.offer);
        let refused = purchase.offer.reclaimable && step < refuses_until[zone];
        if refused || minute.lost == Some(zone) {
            health.refused(&purchase.offer, now);
            continue;
        }
        health.started(&purchase.offer);
        let serves_at = step + if step == 0 { 0 } else { START_STEPS };
        let offer = purchase.offer.clone();
        running.push(Batch { offer, zone, vms: missing, serves_at });
    }
}

fn account(result: &mut Result, running: &[Batch], minute: &Minute, step: u32) {
    let hours = STEP.as_secs_f64() / 3600.0;
    for batch in running {
        let price = match batch.offer.reclaimable {
            true => minute.reclaimable_prices[batch.zone],
            false => ON_DEMAND_PRICE,
        };
        result.cost_millicents += price as f64 * f64::from(batch.vms) * hours;
    }
    let serving = running.iter().filter(|batch| step >= batch.serves_at);
    let carried = serving.map(|batch| batch.vms * CALLS_PER_VM).sum::<u32>();
    let counter = minute.counter_calls_per_s;
    result.counter_calls += u64::from(counter);
    result.within += u64::from(counter.min(carried));
    if counter > 0 {
        let percent = 100.0 * f64::from(counter.min(carried)) / f64::from(counter);
        result.worst_percent = result.worst_percent.min(percent);
    }
}

fn offer(zone: usize, reclaimable: bool, minute: &Minute) -> Offer {
    let price_millicents_per_h =
        if reclaimable { minute.reclaimable_prices[zone] } else { ON_DEMAND_PRICE };
    Offer {
        data_center: format!("dc-{zone}"),
        machine_class: "standard".to_string(),
        reclaimable,
        price_millicents_per_h,
    }
}

fn zone_of(offer: &Offer) -> usize {
    offer.data_center.trim_start_matches("dc-").parse().unwrap_or(0)
}
