//! Orders of backend servers: demand, price, a lost data centre, none to be had.

use fl_fleet::scaling::{
    ServerNeed, ZoneFleet, ZoneOrder, estimate_busy_servers, keep_present_servers, plan,
};
use fl_protocol::forward::ScalingFacts;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn facts(zones: usize) -> ScalingFacts {
    ScalingFacts {
        servers_min: 1,
        servers_max: 8,
        boot: Duration::from_secs(4),
        reclaimable_price: Some(0.15),
        zone_prices: (0..zones).map(|zone| (format!("zone-{zone}"), 1.0 + zone as f64)).collect(),
    }
}

fn fleet(zone: usize, on_demand: u32, reclaimable: u32) -> ZoneFleet {
    ZoneFleet { zone: format!("zone-{zone}"), on_demand, reclaimable }
}

fn same(needed: f64) -> ServerNeed {
    ServerNeed { target: needed, on_demand_target: needed, minimum: needed }
}

fn total(orders: &[ZoneOrder]) -> (u32, u32) {
    let on_demand = orders.iter().map(|order| order.on_demand).sum();
    (on_demand, orders.iter().map(|order| order.reclaimable).sum())
}

#[rstest]
#[case::two_zones_left(3, 8.0, 4)]
#[case::one_zone_left(2, 4.0, 4)]
#[case::single_zone(1, 4.0, 4)]
#[case::many_zones(5, 8.0, 2)]
#[case::never_below_least(3, 0.1, 1)]
#[case::never_above_most(3, 100.0, 8)]
fn reclaimable_survive_a_zone(#[case] zones: usize, #[case] needed: f64, #[case] each: u32) {
    let fleets: Vec<ZoneFleet> = (0..zones).map(|zone| fleet(zone, 4, 0)).collect();
    let orders = plan(&facts(zones), &fleets, same(needed));
    assert!(orders.iter().all(|order| order.reclaimable == each), "{orders:?}");
}

#[test]
fn ample_in_all_zones_together() {
    let fleets: Vec<ZoneFleet> = (0..3).map(|zone| fleet(zone, 4, 0)).collect();
    let orders =
        plan(&facts(3), &fleets, ServerNeed { target: 15.0, on_demand_target: 15.0, minimum: 6.0 });
    assert!(orders.iter().all(|order| order.reclaimable == 5), "{orders:?}");
}

#[test]
fn on_demand_stay_until_replaced() {
    let booting: Vec<ZoneFleet> = (0..3).map(|zone| fleet(zone, 4, 0)).collect();
    assert_eq!(total(&plan(&facts(3), &booting, same(8.0))).0, 8);
    let ready: Vec<ZoneFleet> = (0..3).map(|zone| fleet(zone, 4, 4)).collect();
    assert_eq!(total(&plan(&facts(3), &ready, same(8.0))).0, 0);
}

#[test]
fn lost_zones_filled_by_on_demand() {
    let one_lost = [fleet(0, 0, 4), fleet(1, 0, 4), fleet(2, 0, 0)];
    assert_eq!(
        total(&plan(&facts(3), &one_lost, same(8.0))).0,
        2,
        "what the demand keeps busy outlives another data centre"
    );
    let two_lost = [fleet(0, 0, 4), fleet(1, 0, 0), fleet(2, 0, 0)];
    assert_eq!(total(&plan(&facts(3), &two_lost, same(8.0))).0, 6, "the last may go as well");
}

#[test]
fn on_demand_only_for_the_least() {
    let lost = [fleet(0, 0, 4), fleet(1, 0, 0), fleet(2, 0, 0)];
    let need = ServerNeed { target: 8.0, on_demand_target: 8.0, minimum: 5.0 };
    assert_eq!(
        total(&plan(&facts(3), &lost, need)).0,
        4,
        "what the demand keeps busy outlives the last zone"
    );
}

/// A dry spell: reclaimable servers are to be had in one data centre after the other only. Their
/// reserve is cheap, on-demand ones are ordered for the demand of now alone.
#[test]
fn dry_spell_costs_few_on_demand() {
    let need = ServerNeed::from_busy_servers(3.0, 3.0);
    let whole = [fleet(0, 0, 4), fleet(1, 0, 4), fleet(2, 0, 4)];
    assert_eq!(total(&plan(&facts(3), &whole, need)), (0, 12));
    let one_left = [fleet(0, 0, 4), fleet(1, 0, 0), fleet(2, 0, 0)];
    assert_eq!(total(&plan(&facts(3), &one_left, need)).0, 4, "the demand outlives the last");
    let none_left = [fleet(0, 0, 0), fleet(1, 0, 0), fleet(2, 0, 0)];
    assert_eq!(total(&plan(&facts(3), &none_left, need)).0, 5);
    let steady = ScalingFacts { reclaimable_price: None, ..facts(3) };
    assert_eq!(total(&plan(&steady, &none_left, need)), (8, 0), "a longer queue would stay");
}

/// Whatever is lost besides one data centre, the servers that stay are not fewer than the demand
/// keeps busy: queues that grow for a boot time make everything late.
#[test]
fn bridge_holds_the_demand() {
    for tenths in 10..80 {
        let busy = f64::from(tenths) / 10.0;
        let one_left = [fleet(0, 0, 8), fleet(1, 0, 0), fleet(2, 0, 0)];
        let (on_demand, _) =
            total(&plan(&facts(3), &one_left, ServerNeed::from_busy_servers(busy, busy)));
        assert!(f64::from(on_demand) >= busy, "{on_demand} of {busy}");
    }
}

/// What a node orders that became the holder just after its start, while one data centre has lost
/// its servers: at least what is there.
#[rstest]
#[case::one_zone_lost([fleet(0, 0, 7), fleet(1, 0, 8), fleet(2, 0, 0)])]
#[case::hardly_anything_left([fleet(0, 0, 0), fleet(1, 0, 2), fleet(2, 0, 0)])]
#[case::on_demand_in_their_place([fleet(0, 5, 0), fleet(1, 4, 1), fleet(2, 0, 0)])]
fn young_holder_orders_nothing_away(#[case] zones: [ZoneFleet; 3]) {
    let busy = estimate_busy_servers(&zones);
    let need = ServerNeed::from_busy_servers(busy, busy);
    let mut orders = plan(&facts(3), &zones, need);
    keep_present_servers(&mut orders, &zones, true);
    for (order, fleet) in orders.iter().zip(&zones) {
        assert!(order.reclaimable >= fleet.reclaimable, "{order:?} {fleet:?}");
        assert!(order.on_demand >= fleet.on_demand, "{order:?} {fleet:?}");
    }
}

#[test]
fn lost_zone_suggests_as_much_as_before() {
    let whole = [fleet(0, 0, 8), fleet(1, 0, 8), fleet(2, 0, 8)];
    let lost = [fleet(0, 0, 7), fleet(1, 0, 8), fleet(2, 0, 0)];
    assert!((estimate_busy_servers(&whole) - estimate_busy_servers(&lost)).abs() < 0.01);
}

#[test]
fn dear_reclaimable_not_taken() {
    let facts = ScalingFacts { reclaimable_price: Some(0.9), ..facts(3) };
    let fleets: Vec<ZoneFleet> = (0..3).map(|zone| fleet(zone, 4, 0)).collect();
    assert_eq!(total(&plan(&facts, &fleets, same(6.0))), (6, 0));
}

#[test]
fn cheap_zones_first() {
    let facts = ScalingFacts { reclaimable_price: None, servers_min: 0, ..facts(3) };
    let fleets: Vec<ZoneFleet> = (0..3).map(|zone| fleet(zone, 0, 0)).collect();
    let orders = plan(&facts, &fleets, same(4.0));
    let on_demand: Vec<u32> = orders.iter().map(|order| order.on_demand).collect();
    assert_eq!(on_demand, [2, 1, 1]);
}

proptest! {
    /// Whatever is there, orders keep within the bounds of a data centre.
    #[test]
    fn bounds_kept(
        present in proptest::collection::vec((0u32..9, 0u32..9), 1..6),
        needed in 0.0f64..60.0,
    ) {
        let facts = facts(present.len());
        let fleets: Vec<ZoneFleet> = present
            .iter()
            .enumerate()
            .map(|(zone, (on_demand, reclaimable))| fleet(zone, *on_demand, *reclaimable))
            .collect();
        for (order, fleet) in plan(&facts, &fleets, same(needed)).iter().zip(&fleets) {
            prop_assert!(order.reclaimable <= facts.servers_max);
            let serving = order.on_demand + fleet.reclaimable.min(order.reclaimable);
            prop_assert!(serving <= facts.servers_max);
            prop_assert!(serving >= facts.servers_min);
        }
    }
}
