//! Summaries of results over several seeds.

use crate::report::{GroupResult, LoadResult};

/// Mean and extremes of a figure over several seeds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SeedStatistics {
    /// Arithmetic mean; 0 without figures.
    pub mean: f64,
    /// Smallest value; 0 without figures.
    pub min: f64,
    /// Largest value; 0 without figures.
    pub max: f64,
}

/// Summary of one class over all workspaces.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassSummary {
    /// Name of the class.
    pub class: String,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: SeedStatistics,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: SeedStatistics,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99_ms: SeedStatistics,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub between_tokens_p95_ms: SeedStatistics,
    /// Refused calls, in percent of the calls sent.
    pub refused_percent: SeedStatistics,
    /// Complete responses on target, in percent of the calls sent.
    pub on_target_percent: SeedStatistics,
}

/// Summary of all seeds of one user, scenario and policy.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicySummary {
    /// Name of the user.
    pub user: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy, from the label of the results.
    pub label: String,
    /// Number of results, one for each seed.
    pub seeds: usize,
    /// Prompt tokens computed in excess of the minimum.
    pub recomputed_tokens: SeedStatistics,
    /// Price per 1,000 tokens of responses on target, in millicents.
    pub cost_millicents_per_1000_tokens: SeedStatistics,
    /// Accepted calls without a complete response, over all seeds.
    pub failed: u64,
    /// Responses with an event that did not belong to them, over all seeds.
    pub wrong: u64,
    /// Summaries of the classes, sorted by name.
    pub classes: Vec<ClassSummary>,
}

/// Groups results by user, scenario and policy and summarises each group.
///
/// The groups are in the order in which they first occur.
pub fn summarise_by_policy(results: &[LoadResult]) -> Vec<PolicySummary> {
    let mut groups: Vec<Vec<&LoadResult>> = Vec::new();
    for result in results {
        match groups.iter_mut().find(|group| is_same_policy(group[0], result)) {
            Some(group) => group.push(result),
            None => groups.push(vec![result]),
        }
    }
    groups.iter().map(|group| summarise_policy(group)).collect()
}

fn is_same_policy(left: &LoadResult, right: &LoadResult) -> bool {
    (&left.user, &left.scenario, &left.label) == (&right.user, &right.scenario, &right.label)
}

fn summarise_policy(results: &[&LoadResult]) -> PolicySummary {
    let first = results[0];
    let totals = |result: &LoadResult| -> Vec<GroupResult> {
        result.groups.iter().filter(|group| group.workspace == "*").cloned().collect()
    };
    let classes = totals(first);
    let all: Vec<GroupResult> = results.iter().flat_map(|result| totals(result)).collect();
    PolicySummary {
        user: first.user.clone(),
        scenario: first.scenario.clone(),
        label: first.label.clone(),
        seeds: results.len(),
        recomputed_tokens: seed_statistics(
            results.iter().map(|result| result.recomputed_tokens as f64),
        ),
        cost_millicents_per_1000_tokens: seed_statistics(
            results.iter().map(|result| result.cost_millicents_per_1000_tokens),
        ),
        failed: all.iter().map(|group| group.failed).sum(),
        wrong: all.iter().map(|group| group.wrong).sum(),
        classes: classes.iter().map(|group| summarise_class(&group.class, &all)).collect(),
    }
}

fn summarise_class(class: &str, all: &[GroupResult]) -> ClassSummary {
    let statistics_of = |figure: &dyn Fn(&GroupResult) -> f64| {
        seed_statistics(all.iter().filter(|group| group.class == class).map(figure))
    };
    ClassSummary {
        class: class.to_string(),
        first_token_p50_ms: statistics_of(&|group| group.first_token.p50_ms),
        first_token_p95_ms: statistics_of(&|group| group.first_token.p95_ms),
        first_token_p99_ms: statistics_of(&|group| group.first_token.p99_ms),
        between_tokens_p95_ms: statistics_of(&|group| group.between_tokens.p95_ms),
        refused_percent: statistics_of(&|group| percent(group.refused, group.sent)),
        on_target_percent: statistics_of(&|group| percent(group.on_target, group.sent)),
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 * 100.0 / whole as f64 }
}

/// Computes the mean and the extremes of figures.
pub(crate) fn seed_statistics(figures: impl Iterator<Item = f64>) -> SeedStatistics {
    let figures: Vec<f64> = figures.collect();
    let sum: f64 = figures.iter().sum();
    SeedStatistics {
        mean: if figures.is_empty() { 0.0 } else { sum / figures.len() as f64 },
        min: figures.iter().copied().reduce(f64::min).unwrap_or_default(),
        max: figures.iter().copied().reduce(f64::max).unwrap_or_default(),
    }
}
