//! Open-loop load generator with response checks, experiments and plots.
//!
//! Arrival times are drawn from a seed before the run, so that slow responses do not slow the load
//! down and two runs with the same seed send the same calls. See `docs/measurements/load.md`.

mod engine_counters;
mod error;
pub mod experiment;
mod http_client;
mod model_call;
mod plot;
mod report;
mod response_checker;
mod result_aggregator;
mod run;
mod service_call;
mod service_runs;
mod sse;
mod workload;

pub use engine_counters::{EngineTotals, least_prefill_tokens};
pub use error::LoadError;
pub use report::{GroupResult, LoadResult, Percentiles, ReasonCount, ServiceCallCounts};
pub use response_checker::{ResponseChecker, ResponseEvent};
pub use run::{LoadPlan, run_load};
pub use sse::{SseEvent, SseParser};
pub use workload::{
    Arrival, ScheduledCall, ScheduledModelCall, ScheduledServiceCall, User, build_configuration,
    plan_arrivals, workspace_key,
};
