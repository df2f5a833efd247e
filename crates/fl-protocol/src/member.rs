//! Nodes as members of the fleet.

use crate::ids::{DataCenterName, Incarnation, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Node as a member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Entry VM that the node runs on.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_center: DataCenterName,
    /// Address for capnp-rpc calls of peers over TCP.
    pub peer_address: SocketAddr,
    /// Address for membership datagrams.
    pub gossip_address: SocketAddr,
    /// Address of the admin API for operators and the platform.
    pub admin_address: SocketAddr,
    /// Incarnation of the node; member updates with a lesser one are ignored.
    pub incarnation: Incarnation,
    /// Observed state of the node.
    pub state: MemberState,
}

/// State of a node as another node observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The node responds.
    Alive,
    /// The node missed heartbeats and may still refute the suspicion.
    Suspect,
    /// The node announced that it is leaving, so it gets no new work.
    Leaving,
    /// The node's whole data centre went silent at once; the node may still serve beyond a network
    /// partition.
    CutOff,
    /// The node stayed silent for longer than the suspicion timeout, or left.
    Dead,
}

impl MemberState {
    /// Returns whether the node may get new work, such as the replica of a request.
    pub fn takes_new_work(self) -> bool {
        self == MemberState::Alive
    }
}
