//! Open-loop load, answer checks, experiments and plots.
//!
//! Arrival times are fixed beforehand from a seed, so that slow answers do not slow the load and
//! two runs with the same seed offer the same calls. See `docs/measurements/load.md`.

mod ask;
mod call;
mod caller;
mod engines;
mod error;
pub mod experiment;
mod mix;
mod plot;
mod report;
mod response_checker;
mod run;
mod services;
mod sse;
mod tally;

pub use engines::{EngineTotals, least_prefill_tokens};
pub use error::LoadError;
pub use mix::{
    Arrival, ScheduledCall, ScheduledModelCall, ScheduledServiceCall, User, build_configuration,
    plan_arrivals, workspace_key,
};
pub use report::{CallCounts, GroupResult, LoadResult, Percentiles, RefusalCount};
pub use response_checker::{ResponseChecker, ResponseEvent};
pub use run::{LoadPlan, run_load};
pub use sse::{SseEvent, SseParser};
