//! Adds up what the callers saw.

use crate::model_call::{ModelCallOutcome, ModelCallResult};
use crate::report::{GroupResult, Percentiles, ReasonCount, ServiceCallCounts};
use crate::service_call::ServiceCallOutcome;
use crate::service_runs::CountedRun;
use crate::workload::{ScheduledServiceCall, User};
use fl_protocol::{derive_request_id, format_request_id};
use hdrhistogram::Histogram;
use serde::Deserialize;
use std::time::Duration;

/// The workspace that stands for all.
const ALL: &str = "*";
/// Two significant digits of a histogram are within 1%.
const DIGITS: u8 = 2;
const MICROS_PER_MS: f64 = 1_000.0;
/// The longest time that is told apart, an hour in microseconds; longer ones count as that.
const LONGEST_US: u64 = 3_600_000_000;

/// The model calls of one workspace and class.
struct Group {
    result: GroupResult,
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
}

/// A call that may not be repeated, with what its caller was told.
struct FinishedCall {
    keys: [String; 2],
    not_run: bool,
    answered: bool,
}

/// The part of a service's answer that names the call.
#[derive(Deserialize)]
struct KeyedResponse {
    key: String,
}

/// All that was seen, by workspace and class, sorted.
pub(crate) struct ResultAggregator {
    user: User,
    groups: Vec<Group>,
    reasons: Vec<ReasonCount>,
    calls: ServiceCallCounts,
    told: Vec<FinishedCall>,
}

impl ResultAggregator {
    pub(crate) fn new(user: User) -> ResultAggregator {
        ResultAggregator {
            user,
            groups: Vec::new(),
            reasons: Vec::new(),
            calls: ServiceCallCounts::default(),
            told: Vec::new(),
        }
    }

    /// Adds a model call to its own group and to the one of all workspaces.
    pub(crate) fn add_ask(&mut self, workspace: &str, class: &str, seen: &ModelCallResult) {
        for workspace in [ALL, workspace] {
            let (target_ms, _) = self.user.targets_ms(class);
            let target = Duration::from_millis(target_ms);
            if let Some(group) = self.group(workspace, class) {
                group.add(seen, target);
            }
        }
        match &seen.ending {
            ModelCallOutcome::Whole => {}
            ModelCallOutcome::Refused(kind) => self.count_reason(format!("refused: {kind}")),
            ModelCallOutcome::Failed(why) => self.count_reason(format!("failed: {why}")),
            ModelCallOutcome::Wrong(what) => self.count_reason(format!("wrong: {what}")),
        }
    }

    /// Adds a call of a plain service.
    pub(crate) fn add_call(
        &mut self,
        workspace: &str,
        call: &ScheduledServiceCall,
        told: &ServiceCallOutcome,
    ) {
        let answered = matches!(told, ServiceCallOutcome::Answered(_));
        let Some(key) = &call.key else {
            self.calls.look_ups += 1;
            self.calls.look_ups_answered += u64::from(answered);
            return;
        };
        // A node may pass on its own id of the call in place of the caller's key.
        let id = format_request_id(derive_request_id(workspace, key));
        let keys = [key.clone(), id];
        self.calls.sent += 1;
        match told {
            ServiceCallOutcome::Answered(body) => {
                self.calls.answered += 1;
                let named: Option<KeyedResponse> = serde_json::from_slice(body).ok();
                let own = named.is_some_and(|named| keys.contains(&named.key));
                self.calls.wrong += u64::from(!own);
            }
            ServiceCallOutcome::NotRun(kind) => {
                self.calls.not_run += 1;
                self.count_reason(format!("call not run: {kind}"));
            }
            ServiceCallOutcome::Unknown(kind) => {
                self.calls.unknown += 1;
                self.count_reason(format!("call unknown: {kind}"));
            }
            ServiceCallOutcome::Nothing => self.calls.unanswered += 1,
        }
        let not_run = matches!(told, ServiceCallOutcome::NotRun(_));
        self.told.push(FinishedCall { keys, not_run, answered });
    }

    /// Holds what the services counted against what the callers were told.
    ///
    /// A call that was answered and not counted is a fault only where all runs could be read: a
    /// service that was taken back took its last ones along.
    pub(crate) fn compare_runs(&mut self, runs: &[CountedRun], is_complete: bool) {
        for call in &self.told {
            let own = runs.iter().filter(|run| call.keys.contains(&run.key));
            let count: u64 = own.map(|run| run.count).sum();
            self.calls.run_twice += u64::from(count > 1);
            self.calls.contradicted += u64::from(call.not_run && count > 0);
            self.calls.not_counted += u64::from(is_complete && call.answered && count == 0);
        }
    }

    pub(crate) fn calls(&self) -> ServiceCallCounts {
        self.calls
    }

    pub(crate) fn reasons(&self) -> Vec<ReasonCount> {
        self.reasons.clone()
    }

    pub(crate) fn groups(&self) -> Vec<GroupResult> {
        self.groups.iter().map(Group::result).collect()
    }

    fn count_reason(&mut self, kind: String) {
        match self.reasons.binary_search_by(|reason| reason.kind.cmp(&kind)) {
            Ok(index) => self.reasons[index].count += 1,
            Err(index) => self.reasons.insert(index, ReasonCount { kind, count: 1 }),
        }
    }

    fn group(&mut self, workspace: &str, class: &str) -> Option<&mut Group> {
        let found = self.groups.binary_search_by(|group| {
            (group.result.workspace.as_str(), group.result.class.as_str()).cmp(&(workspace, class))
        });
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                self.groups.insert(index, Group::new(workspace, class)?);
                index
            }
        };
        self.groups.get_mut(index)
    }
}

impl Group {
    fn new(workspace: &str, class: &str) -> Option<Group> {
        let (workspace, class) = (workspace.to_string(), class.to_string());
        Some(Group {
            result: GroupResult { workspace, class, ..GroupResult::default() },
            first_token_us: histogram()?,
            between_tokens_us: histogram()?,
        })
    }

    fn add(&mut self, seen: &ModelCallResult, target: Duration) {
        let result = &mut self.result;
        result.sent += 1;
        result.reconnects += seen.reconnects;
        result.restarts += seen.restarts;
        match seen.ending {
            ModelCallOutcome::Whole => result.whole += 1,
            ModelCallOutcome::Refused(_) => result.refused += 1,
            ModelCallOutcome::Failed(_) => result.failed += 1,
            ModelCallOutcome::Wrong(_) => result.wrong += 1,
        }
        let on_target = seen.first_token.is_some_and(|first_token| first_token <= target);
        if on_target && seen.ending == ModelCallOutcome::Whole {
            result.on_target += 1;
            result.on_target_tokens += seen.tokens;
        }
        if let Some(first_token) = seen.first_token {
            self.first_token_us.saturating_record(first_token.as_micros() as u64);
        }
        for gap in &seen.gaps {
            self.between_tokens_us.saturating_record(gap.as_micros() as u64);
        }
    }

    fn result(&self) -> GroupResult {
        GroupResult {
            first_token: percentiles(&self.first_token_us),
            between_tokens: percentiles(&self.between_tokens_us),
            ..self.result.clone()
        }
    }
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).ok()
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
    Percentiles { p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99) }
}
