//! Selects the runners whose reports a node reads, and the peers that it notifies directly.
//!
//! See `docs/design/050-routing.md`.

use crate::rendezvous::{name_hash, rank};
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{Member, VmName};

/// Number of runners up to which a node that serves calls watches all of them.
pub const WATCH_ALL_RUNNERS: usize = 32;
/// Number of nodes in a data centre that watch the same runner in a larger fleet.
pub const WATCHERS_PER_RUNNER: usize = 2;
/// Number of peers in the node's own data centre that are notified directly. They relay what is new
/// to them.
pub const NOTIFIED_IN_OWN_DATA_CENTER: usize = 4;

/// Returns the runners whose reports this node reads, sorted by name.
///
/// An idle node reads only the reports of the runners that it is assigned to watch, to detect that
/// they are leaving and to notify its peers. Reading any other report would cost money without
/// being of use.
pub fn watched_runners(
    own: &Member,
    members: &[Member],
    vms: &[Vm],
    serves_calls: bool,
) -> Vec<VmName> {
    let runners = vms.iter().filter(|vm| vm.kind == VmKind::Runner);
    let mut names: Vec<VmName> = if serves_calls && runners.clone().count() <= WATCH_ALL_RUNNERS {
        runners.map(|vm| vm.name.clone()).collect()
    } else {
        let local_runners = runners.filter(|vm| vm.data_center == own.data_center);
        let peers = peer_hashes(own, members);
        let own_hash = name_hash(&own.vm);
        let watched = local_runners.filter(|vm| is_watcher(own_hash, &peers, name_hash(&vm.name)));
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
    let higher_ranked = peers.iter().filter(|peer| rank(runner, **peer) > own_rank);
    higher_ranked.count() < WATCHERS_PER_RUNNER
}

/// Returns the peers to notify about `subject`: several in the node's own data centre and one in
/// each other data centre.
pub fn peers_to_notify(own: &Member, members: &[Member], subject: &str) -> Vec<Member> {
    let key = rank(name_hash(subject), name_hash(&own.vm));
    let mut ranked: Vec<(u64, &Member)> = members
        .iter()
        .filter(|member| member.vm != own.vm && member.state.takes_new_work())
        .map(|member| (rank(key, name_hash(&member.vm)), member))
        .collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let mut notified: Vec<Member> = Vec::new();
    for (_, member) in ranked {
        let limit =
            if member.data_center == own.data_center { NOTIFIED_IN_OWN_DATA_CENTER } else { 1 };
        let already_notified =
            notified.iter().filter(|peer| peer.data_center == member.data_center).count();
        if already_notified < limit {
            notified.push(member.clone());
        }
    }
    notified
}
