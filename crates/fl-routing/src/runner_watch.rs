//! Decides which runners a node watches and which peers it tells first-hand news.
//!
//! See `docs/design/050-routing.md`.

use crate::rendezvous::{name_hash, rank};
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{Member, VmName};

/// Up to this many runners a node that serves calls watches all of them.
pub const WATCH_ALL_RUNNERS: usize = 32;
/// Nodes of a data centre that watch the same runner in a larger fleet.
pub const WATCHERS_PER_RUNNER: usize = 2;
/// Peers of the own data centre that are told news directly; they relay what is new to them.
pub const NOTIFIED_IN_OWN_DATA_CENTER: usize = 4;

/// Chooses the runners whose reports this node reads, sorted by name.
///
/// An idle node reads only those it is a watcher of, to learn that they are leaving and to tell its
/// peers; reports of all others would be paid for and never used.
pub fn watched_runners(own: &Member, members: &[Member], vms: &[Vm], in_use: bool) -> Vec<VmName> {
    let runners = vms.iter().filter(|vm| vm.kind == VmKind::Runner);
    let mut names: Vec<VmName> = if in_use && runners.clone().count() <= WATCH_ALL_RUNNERS {
        runners.map(|vm| vm.name.clone()).collect()
    } else {
        let near = runners.filter(|vm| vm.data_center == own.data_center);
        let peers = peer_hashes(own, members);
        let own_hash = name_hash(&own.vm);
        let watched = near.filter(|vm| is_watcher(own_hash, &peers, name_hash(&vm.name)));
        watched.map(|vm| vm.name.clone()).collect()
    };
    names.sort();
    names
}

fn peer_hashes(own: &Member, members: &[Member]) -> Vec<u64> {
    members
        .iter()
        .filter(|member| member.vm != own.vm && member.data_center == own.data_center)
        .filter(|member| member.state.takes_new_work())
        .map(|member| name_hash(&member.vm))
        .collect()
}

fn is_watcher(own: u64, peers: &[u64], runner: u64) -> bool {
    let own_rank = rank(runner, own);
    let better = peers.iter().filter(|peer| rank(runner, **peer) > own_rank);
    better.count() < WATCHERS_PER_RUNNER
}

/// Chooses the peers that are told news about `subject`: some here, one in each other data centre.
pub fn peers_to_notify(own: &Member, members: &[Member], subject: &str) -> Vec<Member> {
    let key = rank(name_hash(subject), name_hash(&own.vm));
    let mut ranked: Vec<(u64, &Member)> = members
        .iter()
        .filter(|member| member.vm != own.vm && member.state.takes_new_work())
        .map(|member| (rank(key, name_hash(&member.vm)), member))
        .collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let mut told: Vec<Member> = Vec::new();
    for (_, member) in ranked {
        let limit =
            if member.data_center == own.data_center { NOTIFIED_IN_OWN_DATA_CENTER } else { 1 };
        let already = told.iter().filter(|peer| peer.data_center == member.data_center).count();
        if already < limit {
            told.push(member.clone());
        }
    }
    told
}
