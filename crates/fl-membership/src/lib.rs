//! SWIM-style gossip membership as a state machine without I/O, and its datagram codec.
//!
//! [`MembershipState`] is given the time and the received datagrams, and returns the datagrams to
//! send. It reads no clock and owns no socket, so that tests run it on a virtual clock. See
//! `docs/design/060-membership.md`.

pub mod budget;
pub mod codec;
pub mod data_center_reachability;
pub mod gossip_queue;
pub mod member_table;
pub mod piggyback;
pub mod probes;
pub mod state;

pub use codec::{CodecError, MAX_DATAGRAM_BYTES};
pub use member_table::MemberChange;
pub use state::{MembershipConfig, MembershipState, OutgoingDatagram, RandomSource, Traffic};
