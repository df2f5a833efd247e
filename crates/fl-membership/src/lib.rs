//! Membership as a pure state machine and its datagram codec.
//!
//! [`MembershipState`] is told the time and the datagrams that arrived, and answers with the
//! datagrams to send. It reads no clock and owns no socket, so that every decision can be tested
//! in a table. See `docs/design/060-membership.md`.

pub mod budget;
pub mod codec;
pub mod data_center_reachability;
pub mod gossip_queue;
pub mod piggyback;
pub mod probes;
pub mod state;
pub mod table;

pub use codec::{CodecError, MAX_DATAGRAM_BYTES};
pub use state::{MembershipConfig, MembershipState, OutgoingDatagram, RandomSource, Traffic};
pub use table::MemberChange;
