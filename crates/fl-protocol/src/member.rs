//! Nodes as their peers see them.

use crate::ids::{DataCenterName, Incarnation, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node, as membership knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry VM it runs on.
    pub vm: VmName,
    /// The data centre of that VM.
    pub data_center: DataCenterName,
    /// Where peers reach it by capnp-rpc over TCP.
    pub peer_address: SocketAddr,
    /// Where it receives membership datagrams.
    pub gossip_address: SocketAddr,
    /// Where operators and the platform reach its admin pages.
    pub admin_address: SocketAddr,
    /// Its life; a greater one makes older news void.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub state: MemberState,
}

/// What a node believes of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It missed heartbeats and may still refute the suspicion.
    Suspect,
    /// It said that it is leaving; it gets no new work.
    Leaving,
    /// Its whole data centre went silent at once; it may be serving on the far side of a cut.
    CutOff,
    /// It stayed silent beyond the suspicion timeout, or left.
    Dead,
}

impl MemberState {
    /// Says whether new work, such as a guardian copy, may go there.
    pub fn takes_new_work(self) -> bool {
        self == MemberState::Alive
    }
}
