//! The state machine of calls that may not be repeated.
//!
//! Everything here is pure: [`Attempt`] says what to do next and is told what came of it, so that
//! every interleaving of faults can be walked in a test. The service that does the I/O stands in
//! `fl-node`. See `docs/design/040-non-repeatable-calls.md`.

pub mod attempt;
pub mod claim;
pub mod decision;
pub mod row;
pub mod settlement;

pub use attempt::{Attempt, AttemptOutcome, Effect, Input, ReadOutcome, SendOutcome, WriteOutcome};
pub use claim::{Claim, Claimed, Dispatched, Ended};
pub use decision::{AttemptParams, Decision, NotRunReason, OwnerReply, decide};
pub use row::{ClaimNonce, ClaimRow, InstanceId, RowError, RowState, VersionedRow};
pub use settlement::{Settlement, SettlementStep};
