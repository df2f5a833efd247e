//! Which models and adapters each runner of a data centre shall hold.
//!
//! Copies are added where the shortage is greatest, and no more loads are begun than the weight
//! store can serve in one round. A runner keeps what it has unless the configuration no longer
//! names it, since an unload makes room that nobody asked for and costs a load later.

use crate::orders::DesiredState;
use fl_protocol::{Configuration, ModelName, VmName};

/// What a runner holds now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerState {
    /// The runner.
    pub runner: VmName,
    /// Models and adapters, sorted; empty for an engine that serves any model without a load.
    pub models: Vec<ModelName>,
}

/// How many copies of a model or adapter a data centre needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelNeed {
    /// `model` or `model:adapter`.
    pub model: ModelName,
    /// Copies wanted.
    pub copies: u32,
    /// What one load takes from the weight store, in bytes.
    pub weights_bytes: u64,
}

/// The needs of a data centre by configuration and measured demand.
///
/// `demand_runners` says how many runners' worth of calls each model has; models without an entry
/// get the copies that the configuration asks for.
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

/// Chooses what each runner shall hold after this round.
///
/// `load_budget_bytes` bounds the weights of the loads that this round begins. One load always
/// fits, else a model larger than the budget would never be placed.
pub fn place_models(
    needs: &[ModelNeed],
    runners: &[RunnerState],
    load_budget_bytes: u64,
) -> Vec<DesiredState> {
    let mut wanted: Vec<DesiredState> = runners.iter().map(|runner| kept(needs, runner)).collect();
    let mut left_bytes = load_budget_bytes;
    let mut loads = 0;
    while let Some((need, index)) = most_urgent(needs, runners, &wanted, loads, left_bytes) {
        let models = &mut wanted[index].models;
        if let Err(place) = models.binary_search(&need.model) {
            models.insert(place, need.model.clone());
        }
        left_bytes = left_bytes.saturating_sub(need.weights_bytes);
        loads += 1;
    }
    wanted
}

fn kept(needs: &[ModelNeed], runner: &RunnerState) -> DesiredState {
    let named = |model: &&ModelName| needs.iter().any(|need| need.model == **model);
    let models = runner.models.iter().filter(named).cloned().collect();
    DesiredState { runner: runner.runner.clone(), models }
}

/// The model with the least of its copies, and the runner with the fewest models that lacks it.
fn most_urgent<'a>(
    needs: &'a [ModelNeed],
    runners: &[RunnerState],
    wanted: &[DesiredState],
    loads: usize,
    left_bytes: u64,
) -> Option<(&'a ModelNeed, usize)> {
    let affordable = |need: &&ModelNeed| loads == 0 || need.weights_bytes <= left_bytes;
    let lacking = needs.iter().filter(affordable).filter_map(|need| {
        let copies = copies_of(&need.model, runners, wanted);
        let index = roomiest_without(&need.model, runners, wanted)?;
        (copies < need.copies).then_some((need, copies, index))
    });
    let urgent = lacking.min_by_key(|(need, copies, _)| {
        (copies * 1000 / need.copies, std::cmp::Reverse(need.copies))
    });
    urgent.map(|(need, _, index)| (need, index))
}

fn copies_of(model: &ModelName, runners: &[RunnerState], wanted: &[DesiredState]) -> u32 {
    let holds = |(runner, wanted): &(&RunnerState, &DesiredState)| {
        runner.models.is_empty() && wanted.models.is_empty()
            || wanted.models.binary_search(model).is_ok()
    };
    runners.iter().zip(wanted).filter(holds).count() as u32
}

fn roomiest_without(
    model: &ModelName,
    runners: &[RunnerState],
    wanted: &[DesiredState],
) -> Option<usize> {
    let lacks = |index: &usize| {
        !runners[*index].models.is_empty() && wanted[*index].models.binary_search(model).is_err()
    };
    (0..wanted.len()).filter(lacks).min_by_key(|index| wanted[*index].models.len())
}
