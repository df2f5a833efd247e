//! Placement of models and adapters on the runners of a data centre.
//!
//! Copies are added for the model with the greatest shortage first, and no more loads are started
//! than the weight store can serve in one round. A runner keeps its models unless the configuration
//! no longer names them, because an unload frees memory that is not needed and costs a load later.

use crate::engine_orders::DesiredState;
use fl_protocol::{Configuration, ModelName, VmName};

/// Models that a runner holds now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerState {
    /// VM of the runner.
    pub runner: VmName,
    /// Names of the models and adapters, sorted; empty for an engine that serves any model without
    /// loading it.
    pub models: Vec<ModelName>,
}

/// Number of copies of a model or adapter that a data centre needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelNeed {
    /// Name, as `model` or `model:adapter`.
    pub model: ModelName,
    /// Number of copies.
    pub copies: u32,
    /// Bytes that one load reads from the weight store.
    pub weights_bytes: u64,
}

/// Returns the needs of a data centre by configuration and measured demand, sorted by model.
///
/// `demand_runners` lists, sorted by model, how many runners the calls of each model keep busy.
/// Models without an entry get the number of copies in the configuration.
pub fn compute_needs(
    configuration: &Configuration,
    demand_runners: &[(ModelName, u32)],
) -> Vec<ModelNeed> {
    let mut needs = Vec::new();
    for model in &configuration.models {
        let mut add = |name: ModelName, weights_bytes: u64| {
            let found = demand_runners.binary_search_by(|(known, _)| known.cmp(&name));
            let demanded = found.map_or(0, |index| demand_runners[index].1);
            let copies = model.copies_per_data_center.max(demanded);
            needs.push(ModelNeed { model: name, copies, weights_bytes });
        };
        add(model.name.clone(), model.weights_bytes);
        for adapter in &model.adapters {
            add(format!("{}:{adapter}", model.name), 0);
        }
    }
    needs.sort_by(|a, b| a.model.cmp(&b.model));
    needs
}

/// Returns what each runner must hold after this round, in the order of `runners`.
///
/// `load_budget_bytes` limits the weights that this round loads. The first load is always allowed,
/// because a model larger than the budget would never be placed otherwise.
pub fn place_models(
    needs: &[ModelNeed],
    runners: &[RunnerState],
    load_budget_bytes: u64,
) -> Vec<DesiredState> {
    let mut desired: Vec<DesiredState> =
        runners.iter().map(|runner| keep_configured(needs, runner)).collect();
    let mut left_bytes = load_budget_bytes;
    let mut loads = 0;
    while let Some((need, index)) = most_urgent(needs, runners, &desired, loads, left_bytes) {
        let models = &mut desired[index].models;
        if let Err(position) = models.binary_search(&need.model) {
            models.insert(position, need.model.clone());
        }
        left_bytes = left_bytes.saturating_sub(need.weights_bytes);
        loads += 1;
    }
    desired
}

fn keep_configured(needs: &[ModelNeed], runner: &RunnerState) -> DesiredState {
    let named = |model: &&ModelName| needs.iter().any(|need| need.model == **model);
    let models = runner.models.iter().filter(named).cloned().collect();
    DesiredState { runner: runner.runner.clone(), models }
}

/// Returns the model with the smallest share of its copies, and the runner that lacks it and holds
/// the fewest models.
fn most_urgent<'a>(
    needs: &'a [ModelNeed],
    runners: &[RunnerState],
    desired: &[DesiredState],
    loads: usize,
    left_bytes: u64,
) -> Option<(&'a ModelNeed, usize)> {
    let affordable = |need: &&ModelNeed| loads == 0 || need.weights_bytes <= left_bytes;
    let lacking = needs.iter().filter(affordable).filter_map(|need| {
        let copies = count_copies(&need.model, runners, desired);
        let index = emptiest_runner_without(&need.model, runners, desired)?;
        (copies < need.copies).then_some((need, copies, index))
    });
    let urgent = lacking.min_by_key(|(need, copies, _)| {
        (copies * 1000 / need.copies, std::cmp::Reverse(need.copies))
    });
    urgent.map(|(need, _, index)| (need, index))
}

fn count_copies(model: &ModelName, runners: &[RunnerState], desired: &[DesiredState]) -> u32 {
    let holds = |(runner, desired): &(&RunnerState, &DesiredState)| {
        runner.models.is_empty() && desired.models.is_empty()
            || desired.models.binary_search(model).is_ok()
    };
    runners.iter().zip(desired).filter(holds).count() as u32
}

fn emptiest_runner_without(
    model: &ModelName,
    runners: &[RunnerState],
    desired: &[DesiredState],
) -> Option<usize> {
    let lacks = |index: &usize| {
        !runners[*index].models.is_empty() && desired[*index].models.binary_search(model).is_err()
    };
    (0..desired.len()).filter(lacks).min_by_key(|index| desired[*index].models.len())
}
