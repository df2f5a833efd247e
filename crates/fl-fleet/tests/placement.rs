//! Tests the placement of models on runners, and the orders that result from it.

use fl_fleet::engine_orders::{DesiredState, compute_order};
use fl_fleet::placement::{ModelNeed, RunnerState, compute_needs, place_models};
use fl_protocol::engine::EngineState;
use fl_protocol::{Configuration, Model};
use rstest::rstest;

fn need(model: &str, copies: u32, weights_bytes: u64) -> ModelNeed {
    ModelNeed { model: model.to_string(), copies, weights_bytes }
}

fn runners(held: &[&str]) -> Vec<RunnerState> {
    let split =
        |models: &&str| models.split(' ').filter(|m| !m.is_empty()).map(str::to_string).collect();
    let runner = |(index, models): (usize, &&str)| RunnerState {
        runner: format!("runner-{index}"),
        models: split(models),
    };
    held.iter().enumerate().map(runner).collect()
}

fn placed(needs: &[ModelNeed], held: &[&str], budget_bytes: u64) -> Vec<String> {
    let desired = place_models(needs, &runners(held), budget_bytes);
    desired.into_iter().map(|desired| desired.models.join(" ")).collect()
}

#[rstest]
#[case::enough_copies(&["fit", "old"], 100, &["fit", ""])]
#[case::copy_added(&["old", "plan"], 100, &["fit", "plan"])]
#[case::any_serves(&["", "plan"], 100, &["", "plan"])]
fn one_copy_placed(#[case] held: &[&str], #[case] budget_bytes: u64, #[case] expected: &[&str]) {
    let needs = [need("fit", 1, 10), need("plan", 0, 10)];
    assert_eq!(placed(&needs, held, budget_bytes), expected);
}

#[rstest]
#[case::all_loads(100, &["fit plan", "fit plan"])]
#[case::two_loads(20, &["fit", "plan"])]
#[case::first_load_always(1, &["fit", ""])]
fn load_budget_kept(#[case] budget_bytes: u64, #[case] expected: &[&str]) {
    let needs = [need("fit", 2, 10), need("plan", 2, 10)];
    assert_eq!(placed(&needs, &["old", "old"], budget_bytes), expected);
}

#[test]
fn demand_raises_copies() {
    let model = Model {
        name: "fit".to_string(),
        adapters: vec!["kids".to_string()],
        weights_bytes: 10,
        copies_per_data_center: 1,
    };
    let configuration = Configuration { models: vec![model], ..Configuration::default() };
    let found = compute_needs(&configuration, &[("fit".to_string(), 3)]);
    assert_eq!(found, vec![need("fit", 3, 10), need("fit:kids", 1, 0)]);
}

#[rstest]
#[case::as_wanted(&["fit"], "serve", false)]
#[case::other_models(&["old"], "serve", true)]
#[case::other_role(&["fit"], "standby", true)]
fn order_needed(#[case] held: &[&str], #[case] role: &str, #[case] expected: bool) {
    let desired = DesiredState { runner: "r".to_string(), models: vec!["fit".to_string()] };
    let models = held.iter().map(|model| model.to_string()).collect();
    let found = EngineState { models, role: role.to_string(), fencing: 0 };
    let order = compute_order(&desired, &found, 5);
    assert_eq!(order.is_some(), expected);
    assert!(order.is_none_or(|order| order.fencing == 5 && order.models == desired.models));
}
