//! Fair queues, rate and concurrency limits, shared quotas and retry budgets as data structures
//! without I/O.
//!
//! See `docs/design/055-fairness-and-admission.md`.

pub mod adaptive_limit;
pub mod backoff;
pub mod brittle_server;
pub mod capacity_borrowing;
pub mod fair_queue;
pub mod named_limit;
pub mod node_share;
pub mod precedence;
pub mod retry_budget;
pub mod server_notices;
pub mod shared_quota;
pub mod sliding_retry_budget;
pub mod slot_tenure;
pub mod stated_value;
pub mod token_bucket;
pub mod wait_estimate;

pub use adaptive_limit::AdaptiveLimit;
pub use brittle_server::{BrittleServer, SlotUse};
pub use fair_queue::{FairQueue, Ticket};
pub use named_limit::{LimitStatement, NamedLimit};
pub use precedence::{FirstDemand, Precedence};
pub use retry_budget::RetryBudget;
pub use server_notices::{NoticeChanges, SendDenial, ServerNotices};
pub use shared_quota::{QuotaLimit, QuotaReport, QuotaSharing, QuotaShortage, SharedQuota};
pub use sliding_retry_budget::SlidingRetryBudget;
pub use slot_tenure::SlotTenure;
pub use stated_value::{StatedValue, Statement};
pub use token_bucket::TokenBucket;
