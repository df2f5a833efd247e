//! Aggregates the results of all calls of a run.

use crate::model_call::{ModelCallOutcome, ModelCallResult};
use crate::report::{GroupResult, Percentiles, ReasonCount, ServiceCallCounts};
use crate::service_call::ServiceOutcome;
use crate::service_runs::CountedRun;
use crate::workload::{ScheduledServiceCall, User};
use fl_protocol::{derive_request_id, format_request_id};
use hdrhistogram::Histogram;
use serde::Deserialize;
use std::time::Duration;

/// Name under which the calls of all workspaces are counted.
const ALL_WORKSPACES: &str = "*";
/// Two significant digits keep the values of a histogram within 1%.
const HISTOGRAM_DIGITS: u8 = 2;
const MICROS_PER_MS: f64 = 1_000.0;
/// Upper bound of the histograms, an hour in microseconds; longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// Counts and latency histograms of the model calls of one workspace and class.
struct Group {
    result: GroupResult,
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
}

/// A non-idempotent call and what its caller was told.
struct FinishedCall {
    /// The idempotency keys under which a service may have counted the call.
    keys: [String; 2],
    not_run: bool,
    answered: bool,
}

/// The part of a service's response that names the call's idempotency key.
#[derive(Deserialize)]
struct KeyedResponse {
    key: String,
}

/// The results of all calls so far; groups are sorted by workspace and class.
pub(crate) struct ResultAggregator {
    user: User,
    groups: Vec<Group>,
    reasons: Vec<ReasonCount>,
    service_calls: ServiceCallCounts,
    finished_calls: Vec<FinishedCall>,
}

impl ResultAggregator {
    pub(crate) fn new(user: User) -> ResultAggregator {
        ResultAggregator {
            user,
            groups: Vec::new(),
            reasons: Vec::new(),
            service_calls: ServiceCallCounts::default(),
            finished_calls: Vec::new(),
        }
    }

    /// Adds a model call to the group of its workspace and to the group of all workspaces.
    pub(crate) fn add_model_call(
        &mut self,
        workspace: &str,
        class: &str,
        call_result: &ModelCallResult,
    ) {
        for workspace in [ALL_WORKSPACES, workspace] {
            let (target_ms, _) = self.user.targets_ms(class);
            let target = Duration::from_millis(target_ms);
            if let Some(group) = self.group_mut(workspace, class) {
                group.add(call_result, target);
            }
        }
        match &call_result.outcome {
            ModelCallOutcome::Complete => {}
            ModelCallOutcome::Refused(kind) => self.count_reason(format!("refused: {kind}")),
            ModelCallOutcome::Failed(cause) => self.count_reason(format!("failed: {cause}")),
            ModelCallOutcome::Mismatch(detail) => self.count_reason(format!("wrong: {detail}")),
        }
    }

    /// Adds a call to a plain service.
    pub(crate) fn add_service_call(
        &mut self,
        workspace: &str,
        call: &ScheduledServiceCall,
        outcome: &ServiceOutcome,
    ) {
        let answered = matches!(outcome, ServiceOutcome::Answered(_));
        let Some(key) = &call.key else {
            self.service_calls.look_ups += 1;
            self.service_calls.look_ups_answered += u64::from(answered);
            return;
        };
        // A node may forward the request id that it derived from the key instead of the key.
        let id = format_request_id(derive_request_id(workspace, key));
        let keys = [key.clone(), id];
        self.service_calls.sent += 1;
        match outcome {
            ServiceOutcome::Answered(body) => {
                self.service_calls.answered += 1;
                let response: Option<KeyedResponse> = serde_json::from_slice(body).ok();
                let matches = response.is_some_and(|response| keys.contains(&response.key));
                self.service_calls.wrong += u64::from(!matches);
            }
            ServiceOutcome::NotRun(kind) => {
                self.service_calls.not_run += 1;
                self.count_reason(format!("call not run: {kind}"));
            }
            ServiceOutcome::Unknown(kind) => {
                self.service_calls.unknown += 1;
                self.count_reason(format!("call unknown: {kind}"));
            }
            ServiceOutcome::Unanswered => self.service_calls.unanswered += 1,
        }
        let not_run = matches!(outcome, ServiceOutcome::NotRun(_));
        self.finished_calls.push(FinishedCall { keys, not_run, answered });
    }

    /// Compares the runs that the services counted with what the callers were told.
    ///
    /// A call that was answered but not counted is an error only if the runs of all services could
    /// be read: the last runs of a reclaimed service are lost with it.
    pub(crate) fn compare_runs(&mut self, runs: &[CountedRun], is_complete: bool) {
        for call in &self.finished_calls {
            let matching = runs.iter().filter(|run| call.keys.contains(&run.key));
            let count: u64 = matching.map(|run| run.count).sum();
            self.service_calls.run_twice += u64::from(count > 1);
            self.service_calls.contradicted += u64::from(call.not_run && count > 0);
            self.service_calls.not_counted += u64::from(is_complete && call.answered && count == 0);
        }
    }

    pub(crate) fn service_calls(&self) -> ServiceCallCounts {
        self.service_calls
    }

    pub(crate) fn reasons(&self) -> Vec<ReasonCount> {
        self.reasons.clone()
    }

    pub(crate) fn groups(&self) -> Vec<GroupResult> {
        self.groups.iter().map(Group::to_result).collect()
    }

    fn count_reason(&mut self, kind: String) {
        match self.reasons.binary_search_by(|reason| reason.kind.cmp(&kind)) {
            Ok(index) => self.reasons[index].count += 1,
            Err(index) => self.reasons.insert(index, ReasonCount { kind, count: 1 }),
        }
    }

    fn group_mut(&mut self, workspace: &str, class: &str) -> Option<&mut Group> {
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
            first_token_us: new_histogram()?,
            between_tokens_us: new_histogram()?,
        })
    }

    fn add(&mut self, call_result: &ModelCallResult, target: Duration) {
        let result = &mut self.result;
        result.sent += 1;
        result.reconnects += call_result.reconnects;
        result.restarts += call_result.restarts;
        match call_result.outcome {
            ModelCallOutcome::Complete => result.whole += 1,
            ModelCallOutcome::Refused(_) => result.refused += 1,
            ModelCallOutcome::Failed(_) => result.failed += 1,
            ModelCallOutcome::Mismatch(_) => result.wrong += 1,
        }
        let on_target = call_result.first_token.is_some_and(|first_token| first_token <= target);
        if on_target && call_result.outcome == ModelCallOutcome::Complete {
            result.on_target += 1;
            result.on_target_tokens += call_result.tokens;
        }
        if let Some(first_token) = call_result.first_token {
            self.first_token_us.saturating_record(first_token.as_micros() as u64);
        }
        for interval in &call_result.token_intervals {
            self.between_tokens_us.saturating_record(interval.as_micros() as u64);
        }
    }

    fn to_result(&self) -> GroupResult {
        GroupResult {
            first_token: percentiles(&self.first_token_us),
            between_tokens: percentiles(&self.between_tokens_us),
            ..self.result.clone()
        }
    }
}

fn new_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, HISTOGRAM_DIGITS).ok()
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
    Percentiles { p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99) }
}
