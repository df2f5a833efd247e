//! The result of one run, as data and as a text table.

use crate::engine_counters::EngineTotals;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95 of 100 are not above.
    pub p95_ms: f64,
    /// 99 of 100 are not above.
    pub p99_ms: f64,
}

/// Model calls of one workspace and class; the workspace `*` holds all of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupResult {
    /// The workspace.
    pub workspace: String,
    /// The class.
    pub class: String,
    /// Calls sent.
    pub sent: u64,
    /// Answers that were whole and their caller's own.
    pub whole: u64,
    /// Calls that were not accepted.
    pub refused: u64,
    /// Calls that were accepted and not answered whole.
    pub failed: u64,
    /// Answers with something that was not theirs.
    pub wrong: u64,
    /// Whole answers whose first token met the target.
    pub on_target: u64,
    /// Tokens of those answers.
    pub on_target_tokens: u64,
    /// Connections that callers opened again.
    pub reconnects: u64,
    /// Answers that started again.
    pub restarts: u64,
    /// From the planned arrival to the first token.
    pub first_token: Percentiles,
    /// Between tokens.
    pub between_tokens: Percentiles,
}

/// Calls of plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCallCounts {
    /// Calls that may not be repeated, sent.
    pub sent: u64,
    /// Answered by the service.
    pub answered: u64,
    /// Said to be not run.
    pub not_run: u64,
    /// Said to have an unknown outcome.
    pub unknown: u64,
    /// Not answered at all.
    pub unanswered: u64,
    /// Answers that named another call.
    pub wrong: u64,
    /// Ran more than once, as the services counted.
    pub run_twice: u64,
    /// Said to be not run, though a service ran it.
    pub contradicted: u64,
    /// Answered, though no service ran it; 0 where a service could not be read at the end.
    pub not_counted: u64,
    /// Stock look-ups sent.
    pub look_ups: u64,
    /// Stock look-ups answered.
    pub look_ups_answered: u64,
}

/// How often a call was refused or failed for one reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// The reason.
    pub kind: String,
    /// How often.
    pub count: u64,
}

/// The result of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// What was compared, such as a policy.
    pub label: String,
    /// Under which conditions.
    pub scenario: String,
    /// The user.
    pub user: String,
    /// The seed.
    pub seed: u64,
    /// Calls offered a second.
    pub rate_per_s: f64,
    /// How long calls were sent, in seconds.
    pub duration_s: f64,
    /// Model calls by class over all workspaces, then by workspace and class.
    pub groups: Vec<GroupResult>,
    /// Why model calls were refused, failed or wrong, sorted.
    pub reasons: Vec<ReasonCount>,
    /// Calls of plain services.
    pub calls: ServiceCallCounts,
    /// What the engines did.
    pub engines: EngineTotals,
    /// Prompt tokens that had to be computed at least, had one cache held them all.
    pub least_prefill_tokens: u64,
    /// Prompt tokens that were computed beyond that.
    pub recomputed_tokens: u64,
    /// Price of all engines for each 1,000 tokens of answers on target, in millicents.
    pub cost_millicents_per_1000_tokens: f64,
}

impl LoadResult {
    /// Whether no promise was broken: nothing failed, wrong, twice or contradicted.
    pub fn guarantees_held(&self) -> bool {
        let kept = |group: &GroupResult| group.failed == 0 && group.wrong == 0;
        let calls = &self.calls;
        let broken = calls.wrong + calls.run_twice + calls.contradicted + calls.not_counted;
        self.groups.iter().all(kept) && broken == 0
    }

    /// The group of a class over all workspaces.
    pub fn class_total(&self, class: &str) -> Option<&GroupResult> {
        self.groups.iter().find(|group| group.workspace == "*" && group.class == class)
    }

    /// Writes the table that people read.
    pub fn render_table(&self) -> String {
        let mut text = format!(
            "{} {} {}: seed {}, {} calls a second for {} s\n\n",
            self.label, self.scenario, self.user, self.seed, self.rate_per_s, self.duration_s
        );
        text.push_str(
            "workspace        class     sent  whole refused failed wrong | first token p50    p95    \
             p99 ms | between p50    p95 ms | on target\n",
        );
        self.groups.iter().for_each(|group| write_group(&mut text, group));
        self.write_totals(&mut text);
        text
    }

    fn write_totals(&self, text: &mut String) {
        // Writing into a String cannot fail.
        let calls = &self.calls;
        let _ = writeln!(
            text,
            "\nbookings and deposits: {} sent, {} answered, {} not run, {} unknown, {} unanswered; \
             run twice {}, contradicted {}, wrong {}, answered but not counted {}",
            calls.sent,
            calls.answered,
            calls.not_run,
            calls.unknown,
            calls.unanswered,
            calls.run_twice,
            calls.contradicted,
            calls.wrong,
            calls.not_counted
        );
        let _ = writeln!(
            text,
            "look-ups: {} sent, {} answered",
            calls.look_ups, calls.look_ups_answered
        );
        let _ = writeln!(
            text,
            "prompt tokens: {} computed, {} cached, {} recomputed (at least {} had to be computed)",
            self.engines.prefilled_tokens,
            self.engines.cached_tokens,
            self.recomputed_tokens,
            self.least_prefill_tokens
        );
        let _ = writeln!(
            text,
            "cost: {:.1} millicents for 1,000 tokens on target",
            self.cost_millicents_per_1000_tokens
        );
        for reason in &self.reasons {
            let _ = writeln!(text, "{}: {}", reason.kind, reason.count);
        }
    }
}

fn write_group(text: &mut String, group: &GroupResult) {
    let (first, between) = (&group.first_token, &group.between_tokens);
    let _ = writeln!(
        text,
        "{:<16} {:<9} {:>5} {:>6} {:>7} {:>6} {:>5} | {:>15.1} {:>6.1} {:>9.1} | {:>11.1} {:>9.1} \
         | {:>9}",
        group.workspace,
        group.class,
        group.sent,
        group.whole,
        group.refused,
        group.failed,
        group.wrong,
        first.p50_ms,
        first.p95_ms,
        first.p99_ms,
        between.p50_ms,
        between.p95_ms,
        group.on_target
    );
}
