//! Which VMs are bought where.

use fl_fleet::capacity::{Demand, MachineClass, Purchase, cost_millicents_per_h, plan, surplus};
use fl_fleet::offers::{Offer, OfferHealth, START_TIMEOUT, StartRequest};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);

fn offer(data_center: &str, machine_class: &str, reclaimable: bool, price: u64) -> Offer {
    Offer {
        data_center: data_center.to_string(),
        machine_class: machine_class.to_string(),
        reclaimable,
        price_millicents_per_h: price,
    }
}

fn classes() -> Vec<MachineClass> {
    let class = |name: &str, calls_per_s, first_token_ms| MachineClass {
        name: name.to_string(),
        calls_per_s,
        first_token_ms,
    };
    vec![class("large", 10, 200), class("small", 4, 300), class("slow", 10, 900)]
}

fn demand(counter_calls_per_s: u32, total_calls_per_s: u32) -> Demand {
    Demand { counter_calls_per_s, total_calls_per_s, first_token_target_ms: 470 }
}

fn market() -> Vec<Offer> {
    vec![
        offer("dc-a", "large", true, 300),
        offer("dc-a", "large", false, 1000),
        offer("dc-b", "large", true, 400),
        offer("dc-b", "large", false, 1000),
        offer("dc-c", "large", true, 500),
        offer("dc-c", "large", false, 1000),
    ]
}

fn bought(purchases: &[Purchase]) -> Vec<(&str, bool, u32)> {
    let short = |p: &Purchase| (p.offer.reclaimable, p.vms);
    purchases.iter().map(|p| (p.offer.data_center.as_str(), short(p).0, short(p).1)).collect()
}

#[rstest]
#[case::no_counter(0, 60, vec![("dc-a", true, 6)])]
#[case::half_counter(30, 60, vec![("dc-a", true, 3), ("dc-b", true, 3)])]
#[case::all_counter(60, 60, vec![("dc-a", true, 3), ("dc-b", true, 3), ("dc-c", true, 3)])]
fn spread(#[case] counter: u32, #[case] total: u32, #[case] expected: Vec<(&str, bool, u32)>) {
    let found = plan(&market(), &classes(), demand(counter, total), &OfferHealth::default(), NOW);
    assert_eq!(bought(&found), expected);
}

#[rstest]
#[case::another_zone(&[("dc-a", true)], vec![("dc-b", true, 3), ("dc-c", true, 3)])]
#[case::on_demand_last(
    &[("dc-a", true), ("dc-b", true), ("dc-c", true)],
    vec![("dc-a", false, 3), ("dc-b", false, 3)]
)]
#[case::one_zone_left(
    &[("dc-a", true), ("dc-b", true), ("dc-a", false), ("dc-b", false)],
    vec![("dc-c", true, 6)]
)]
fn refusals(#[case] refused: &[(&str, bool)], #[case] expected: Vec<(&str, bool, u32)>) {
    let mut health = OfferHealth::default();
    for (data_center, reclaimable) in refused {
        health.refused(&offer(data_center, "large", *reclaimable, 1), NOW);
    }
    let found = plan(&market(), &classes(), demand(30, 60), &health, NOW);
    assert_eq!(bought(&found), expected);
}

#[rstest]
#[case::misses_target("slow", 1, "large")]
#[case::cheaper_a_call("small", 100, "small")]
#[case::dearer_a_call("small", 200, "large")]
fn machine_class(#[case] other: &str, #[case] price: u64, #[case] expected: &str) {
    let offers = [offer("dc-a", "large", true, 300), offer("dc-a", other, true, price)];
    let found = plan(&offers, &classes(), demand(0, 20), &OfferHealth::default(), NOW);
    assert_eq!(found[0].offer.machine_class, expected);
}

#[rstest]
#[case::still_starting(3, 5, 0)]
#[case::all_serve(4, 5, 5)]
#[case::too_many(6, 0, 2)]
fn stop_after_start(#[case] near: u32, #[case] old: u32, #[case] stopped: u32) {
    let of = |data_center, vms| Purchase { offer: offer(data_center, "large", true, 1), vms };
    let wanted = [of("dc-a", 4)];
    let serving = [of("dc-a", near), of("dc-b", old)];
    let found = surplus(&wanted, &serving);
    assert_eq!(found.iter().map(|purchase| purchase.vms).sum::<u32>(), stopped);
}

#[test]
fn back_off_doubles() {
    let mut health = OfferHealth::default();
    let tried = offer("dc-a", "large", true, 1);
    for pause_s in [30, 60, 120, 240, 480, 600, 600] {
        health.refused(&tried, NOW);
        let rest = Duration::from_secs(pause_s);
        assert!(!health.is_open(&tried, NOW + rest - Duration::from_secs(1)));
        assert!(health.is_open(&tried, NOW + rest));
    }
    health.started(&tried);
    assert!(health.is_open(&tried, NOW));
}

#[rstest]
#[case::one_of_ten(1, 10, true)]
#[case::half(5, 10, false)]
#[case::last_one(1, 1, false)]
fn wave_rests(#[case] noticed: u32, #[case] running: u32, #[case] open: bool) {
    let mut health = OfferHealth::default();
    let hit = offer("dc-a", "large", true, 1);
    health.reclaimed(&hit, noticed, running, NOW);
    assert_eq!(health.is_open(&hit, NOW), open);
}

#[test]
fn never_started() {
    let mut health = OfferHealth::default();
    let asked = offer("dc-a", "large", true, 1);
    let mut requests = vec![StartRequest { offer: asked.clone(), asked_at: NOW }];
    health.drop_overdue(&mut requests, NOW + START_TIMEOUT / 2);
    assert_eq!(requests.len(), 1);
    health.drop_overdue(&mut requests, NOW + START_TIMEOUT);
    assert!(requests.is_empty());
    assert!(!health.is_open(&asked, NOW + START_TIMEOUT));
}

proptest! {
    /// Any plan over two data centres or more survives the loss of any one of them.
    #[test]
    fn loss_survived(
        prices in prop::collection::vec(100u64..1000, 2..6),
        counter in 0u32..200,
        rest in 0u32..200,
    ) {
        let priced = |(index, price): (usize, &u64)| offer(&format!("dc-{index}"), "large", true, *price);
        let offers: Vec<Offer> = prices.iter().enumerate().map(priced).collect();
        let found =
            plan(&offers, &classes(), demand(counter, counter + rest), &OfferHealth::default(), NOW);
        let carried = |lost: &str| -> u32 {
            found.iter().filter(|p| p.offer.data_center != lost).map(|p| p.vms * 10).sum()
        };
        prop_assert!(carried("") >= counter + rest);
        for lost in &offers {
            prop_assert!(carried(&lost.data_center) >= counter);
        }
        let dearest = prices.iter().max().unwrap();
        let most = u64::from(2 * (counter + rest) / 10 + 8) * dearest;
        prop_assert!(cost_millicents_per_h(&found) <= most);
    }
}
