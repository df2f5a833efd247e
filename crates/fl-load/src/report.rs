//! The result of one run as data and as a text table.

use crate::engine_counters::EngineTotals;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Percentiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// 50th percentile, the median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Results of the model calls of one workspace and class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupResult {
    /// Name of the workspace, or `*` for the calls of all workspaces.
    pub workspace: String,
    /// Name of the call class.
    pub class: String,
    /// Number of calls sent.
    pub sent: u64,
    /// Complete responses whose every token matched the prompt.
    pub whole: u64,
    /// Calls that were not accepted.
    pub refused: u64,
    /// Calls that were accepted but got no complete response.
    pub failed: u64,
    /// Responses with an event that did not belong to them.
    pub wrong: u64,
    /// Complete responses whose first token met the latency target.
    pub on_target: u64,
    /// Tokens of the responses on target.
    pub on_target_tokens: u64,
    /// Requests that callers sent to reconnect to their response.
    pub reconnects: u64,
    /// Restarts of responses from their first token.
    pub restarts: u64,
    /// Time from the planned arrival to the first token.
    pub first_token: Percentiles,
    /// Time between consecutive tokens.
    pub between_tokens: Percentiles,
}

/// Counts of the calls to plain services.
///
/// All but the look-ups are non-idempotent calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCallCounts {
    /// Non-idempotent calls sent.
    pub sent: u64,
    /// Calls that the service answered.
    pub answered: u64,
    /// Calls whose caller was told that they did not run.
    pub not_run: u64,
    /// Calls whose caller was told that the outcome is unknown.
    pub unknown: u64,
    /// Calls without any response.
    pub unanswered: u64,
    /// Responses that named the key of another call.
    pub wrong: u64,
    /// Calls that ran more than once by the counts of the services.
    pub run_twice: u64,
    /// Calls reported as not run although a service ran them.
    pub contradicted: u64,
    /// Calls that were answered although no service counted a run; 0 if a service could not be read
    /// at the end.
    pub not_counted: u64,
    /// Stock look-ups sent.
    pub look_ups: u64,
    /// Stock look-ups answered.
    pub look_ups_answered: u64,
}

/// How many calls did not succeed for one reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// The reason, such as `refused: overloaded`.
    pub kind: String,
    /// Number of calls.
    pub count: u64,
}

/// The result of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Name of the variant under test, such as a routing policy.
    pub label: String,
    /// Name of the conditions, such as `steady`.
    pub scenario: String,
    /// Name of the user whose mix of calls was sent.
    pub user: String,
    /// Seed from which the arrivals and the calls were drawn.
    pub seed: u64,
    /// Mean number of calls offered per second.
    pub rate_per_s: f64,
    /// Time during which calls were sent, in seconds.
    pub duration_s: f64,
    /// Model calls by class over all workspaces, then by workspace and class.
    pub groups: Vec<GroupResult>,
    /// Why calls did not succeed, sorted by reason.
    pub reasons: Vec<ReasonCount>,
    /// Counts of the calls to plain services.
    pub calls: ServiceCallCounts,
    /// Token counts of the engines.
    pub engines: EngineTotals,
    /// Prompt tokens that one engine with unlimited cache would have computed.
    pub least_prefill_tokens: u64,
    /// Prompt tokens that were computed in excess of `least_prefill_tokens`.
    pub recomputed_tokens: u64,
    /// Price of all engines per 1,000 tokens of responses on target, in millicents.
    pub cost_millicents_per_1000_tokens: f64,
}

impl LoadResult {
    /// Returns whether every accepted model call got its complete response, and every service call
    /// ran as its caller was told.
    pub fn guarantees_held(&self) -> bool {
        let is_correct = |group: &GroupResult| group.failed == 0 && group.wrong == 0;
        let calls = &self.calls;
        let violations = calls.wrong + calls.run_twice + calls.contradicted + calls.not_counted;
        self.groups.iter().all(is_correct) && violations == 0
    }

    /// Returns the results of a class over all workspaces.
    pub fn class_total(&self, class: &str) -> Option<&GroupResult> {
        self.groups.iter().find(|group| group.workspace == "*" && group.class == class)
    }

    /// Renders the result as a text table.
    pub fn render_table(&self) -> String {
        let mut text = format!(
            "{} {} {}: seed {}, {} calls per second for {} s\n\n",
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
