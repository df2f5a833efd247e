//! State machine that runs a non-repeatable call at most once.
//!
//! The crate does no I/O: [`Attempt`] returns the next effect and is given its result, so that
//! tests can visit every interleaving of faults. `fl-node` performs the effects. See
//! `docs/design/040-non-repeatable-calls.md`.

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
