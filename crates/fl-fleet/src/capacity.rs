//! Which VMs to run where: the cheapest that meet the latency target, spread so that the loss of
//! any one data centre leaves enough for all counter calls.

use crate::offers::{Offer, OfferHealth};
use fl_protocol::DataCenterName;
use std::time::Duration;

/// What a machine class can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineClass {
    /// Its name.
    pub name: String,
    /// Calls a second that one VM answers within the latency target.
    pub calls_per_s: u32,
    /// Time to the first token on an idle VM, in milliseconds.
    pub first_token_ms: u64,
}

/// What the fleet must carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Counter calls a second; they must survive the loss of a data centre.
    pub counter_calls_per_s: u32,
    /// All calls a second.
    pub total_calls_per_s: u32,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
}

/// VMs of one offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Purchase {
    /// What is bought.
    pub offer: Offer,
    /// How many VMs.
    pub vms: u32,
}

/// The best offer of one data centre.
struct Choice<'a> {
    offer: &'a Offer,
    calls_per_s: u32,
}

/// Chooses the cheapest purchases that carry the demand; empty when no offer is usable.
///
/// Counter calls survive the loss of a data centre if no data centre carries more than the total
/// less the counter calls. A larger total allows more in the cheapest data centre, so several are
/// tried.
pub fn plan(
    offers: &[Offer],
    classes: &[MachineClass],
    demand: Demand,
    health: &OfferHealth,
    now: Duration,
) -> Vec<Purchase> {
    let choices = choices(offers, classes, demand, health, now);
    let Some(step) = choices.iter().map(|choice| choice.calls_per_s).min() else {
        return Vec::new();
    };
    if choices.len() == 1 {
        return fill(&choices, demand.total_calls_per_s, u32::MAX);
    }
    let most = 2 * (demand.total_calls_per_s + demand.counter_calls_per_s) + step;
    let totals = (demand.total_calls_per_s..=most).step_by(step.max(1) as usize);
    let plans = totals.filter_map(|total| {
        let limit = total.saturating_sub(demand.counter_calls_per_s);
        let plan = fill(&choices, total, limit);
        is_enough(&plan, &choices, demand).then_some(plan)
    });
    plans.min_by_key(|plan| cost_millicents_per_h(plan)).unwrap_or_default()
}

/// What purchases cost, in thousandths of a cent an hour.
pub fn cost_millicents_per_h(purchases: &[Purchase]) -> u64 {
    let cost =
        |purchase: &Purchase| purchase.offer.price_millicents_per_h * u64::from(purchase.vms);
    purchases.iter().map(cost).sum()
}

/// The VMs that may stop: what exceeds the plan, and only once the whole plan serves.
///
/// While prices move the plan from one data centre to another, the old VMs carry the calls until
/// the new ones serve; stopping them earlier would leave all calls in one data centre.
pub fn surplus(wanted: &[Purchase], serving: &[Purchase]) -> Vec<Purchase> {
    let vms_of = |purchases: &[Purchase], offer: &Offer| -> u32 {
        purchases.iter().filter(|known| known.offer.is_same(offer)).map(|known| known.vms).sum()
    };
    if wanted.iter().any(|purchase| vms_of(serving, &purchase.offer) < purchase.vms) {
        return Vec::new();
    }
    let excess = serving.iter().map(|purchase| {
        let vms = purchase.vms.saturating_sub(vms_of(wanted, &purchase.offer));
        Purchase { offer: purchase.offer.clone(), vms }
    });
    excess.filter(|purchase| purchase.vms > 0).collect()
}

/// The cheapest usable offer of each data centre by price a call, the cheapest first.
fn choices<'a>(
    offers: &'a [Offer],
    classes: &[MachineClass],
    demand: Demand,
    health: &OfferHealth,
    now: Duration,
) -> Vec<Choice<'a>> {
    let mut usable: Vec<Choice> = Vec::new();
    for offer in offers {
        let class = classes.iter().find(|class| class.name == offer.machine_class);
        let meets_target = |class: &&MachineClass| {
            class.first_token_ms <= demand.first_token_target_ms && class.calls_per_s > 0
        };
        if let Some(class) = class.filter(meets_target)
            && health.is_open(offer, now)
        {
            usable.push(Choice { offer, calls_per_s: class.calls_per_s });
        }
    }
    usable.sort_by(|a, b| {
        (price_key(a), &a.offer.data_center).cmp(&(price_key(b), &b.offer.data_center))
    });
    let mut best: Vec<Choice> = Vec::new();
    for choice in usable {
        if !best.iter().any(|known| known.offer.data_center == choice.offer.data_center) {
            best.push(choice);
        }
    }
    best
}

/// Price a million calls a second, so that whole numbers compare well.
fn price_key(choice: &Choice) -> u64 {
    choice.offer.price_millicents_per_h * 1_000_000 / u64::from(choice.calls_per_s)
}

fn fill(choices: &[Choice], total_calls_per_s: u32, limit_calls_per_s: u32) -> Vec<Purchase> {
    let mut left = total_calls_per_s;
    let mut purchases = Vec::new();
    for choice in choices {
        let share = left.min(limit_calls_per_s);
        let vms = share.div_ceil(choice.calls_per_s);
        if vms > 0 {
            purchases.push(Purchase { offer: choice.offer.clone(), vms });
        }
        left -= share;
    }
    purchases
}

fn is_enough(plan: &[Purchase], choices: &[Choice], demand: Demand) -> bool {
    let total = carried(plan, choices, None);
    let survives = choices.iter().all(|lost| {
        carried(plan, choices, Some(&lost.offer.data_center)) >= demand.counter_calls_per_s
    });
    total >= demand.total_calls_per_s && survives
}

fn carried(plan: &[Purchase], choices: &[Choice], lost: Option<&DataCenterName>) -> u32 {
    let kept = plan.iter().filter(|purchase| Some(&purchase.offer.data_center) != lost);
    let calls = |purchase: &Purchase| {
        let choice = choices.iter().find(|choice| *choice.offer == purchase.offer);
        choice.map_or(0, |choice| choice.calls_per_s * purchase.vms)
    };
    kept.map(calls).sum()
}
