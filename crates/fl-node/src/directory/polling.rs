//! Polls the platform and the watched runners, each in a task of its own so that none delays
//! another.

use super::NodeDirectory;
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Directory, EventLog, PeerRpc};
use fl_platform::{EngineReportClient, VmListClient};
use fl_protocol::event::EventKind;
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{Member, VmName};
use fl_routing::runner_watch::watched_runners;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The longest time between two reads of the reclaim notices: within three seconds of its notice a
/// VM must be given no new work, even if one read fails.
const MAX_NOTICES_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The longest timeout of one read of notices or of a report, for the same reason.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest time between two reads of a runner's report while this node serves no calls;
/// together with the notices between peers it keeps new work off a leaving runner within three
/// seconds of its report.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two updates of the list of runners to watch.
const WATCH_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Spawns the polling tasks.
pub fn spawn(directory: &Arc<NodeDirectory>) {
    let context = &directory.context;
    context
        .tasks
        .spawn(run_until_cancelled(context.shutdown.clone(), poll_list(directory.clone())));
    context
        .tasks
        .spawn(run_until_cancelled(context.shutdown.clone(), poll_notices(directory.clone())));
    context
        .tasks
        .spawn(run_until_cancelled(context.shutdown.clone(), watch_runners(directory.clone())));
}

async fn run_until_cancelled(cancel: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = work => {}
        () = cancel.cancelled() => {}
    }
}

fn platform_client(directory: &NodeDirectory) -> VmListClient {
    let platform = &directory.context.settings.platform;
    let timeout = platform.request_timeout.min(MAX_READ_TIMEOUT);
    VmListClient::new(platform.vm_list, platform.cloud, timeout)
}

async fn poll_list(directory: Arc<NodeDirectory>) {
    let client = platform_client(&directory);
    let mut reachable = true;
    let mut known_tag = None;
    loop {
        let result = client.read_vms(known_tag.as_ref()).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            record_reachability(&directory, reachable);
        }
        match result {
            Ok(Some((vms, tag))) => {
                known_tag = tag;
                directory.apply_vm_list(vms);
            }
            Ok(None) => {}
            Err(_) if directory.table.lock().vms().is_empty() => fetch_from_peers(&directory).await,
            Err(_) => {}
        }
        tokio::time::sleep(directory.context.settings.routing.vm_list_poll).await;
    }
}

async fn poll_notices(directory: Arc<NodeDirectory>) {
    let client = platform_client(&directory);
    let interval = directory.context.settings.routing.vm_list_poll.min(MAX_NOTICES_POLL_INTERVAL);
    loop {
        if let Ok(notices) = client.read_reclaim_notices().await {
            directory.apply_notices(&notices);
        }
        tokio::time::sleep(interval).await;
    }
}

/// Applies the VM list of the first peer that has one; used until the platform has answered once.
async fn fetch_from_peers(directory: &NodeDirectory) {
    let Ok(peers) = directory.context.registry.find::<dyn PeerRpc>(names::PEERS) else {
        return;
    };
    for member in other_members(directory) {
        match peers.fetch_vms(&member).await {
            Ok(vms) if !vms.is_empty() => return directory.apply_vm_list(vms),
            _ => {}
        }
    }
}

fn other_members(directory: &NodeDirectory) -> Vec<Member> {
    let Some(membership) = directory.membership() else {
        return Vec::new();
    };
    let own = membership.self_member().vm;
    let mut members = membership.members();
    members.retain(|member| member.vm != own && member.state.takes_new_work());
    members
}

/// Runs one polling task for each runner to watch and cancels the tasks of all others.
async fn watch_runners(directory: Arc<NodeDirectory>) {
    let mut watches: Vec<(VmName, String, CancellationToken)> = Vec::new();
    loop {
        let watched = runners_to_watch(&directory);
        watches.retain(|(name, address, cancel)| {
            let is_watched = watched.iter().any(|vm| vm.name == *name && vm.address == *address);
            if !is_watched {
                cancel.cancel();
            }
            is_watched
        });
        for vm in watched {
            if !watches.iter().any(|(name, _, _)| *name == vm.name) {
                let cancel = directory.context.shutdown.child_token();
                let work = poll_runner(directory.clone(), vm.clone());
                directory.context.tasks.spawn(run_until_cancelled(cancel.clone(), work));
                watches.push((vm.name, vm.address, cancel));
            }
        }
        tokio::time::sleep(WATCH_LIST_INTERVAL).await;
    }
}

fn runners_to_watch(directory: &NodeDirectory) -> Vec<Vm> {
    let mut vms = directory.table.lock().vms().to_vec();
    vms.retain(|vm| vm.kind == VmKind::Runner);
    let Some(membership) = directory.membership() else {
        return vms;
    };
    let (own, members) = (membership.self_member(), membership.members());
    let names = watched_runners(&own, &members, &vms, directory.serves_model_calls());
    vms.retain(|vm| names.binary_search(&vm.name).is_ok());
    vms
}

async fn poll_runner(directory: Arc<NodeDirectory>, vm: Vm) {
    let settings = &directory.context.settings;
    let reports = EngineReportClient::new(settings.platform.request_timeout.min(MAX_READ_TIMEOUT));
    loop {
        let result = reports.read_load(&vm.address).await;
        directory.mark_contact(&vm.name, result.is_ok());
        if let Ok(report) = result {
            directory.apply_report(&vm.name, report);
        }
        let idle_interval = settings.routing.load_poll.max(IDLE_POLL_INTERVAL);
        let interval =
            if directory.serves_model_calls() { settings.routing.load_poll } else { idle_interval };
        tokio::time::sleep(interval).await;
    }
}

fn record_reachability(directory: &NodeDirectory, reachable: bool) {
    if let Ok(events) = directory.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
        let state = if reachable { "reachable" } else { "out of reach" };
        let detail = format!("VM list {state} at_ms={}", unix_ms());
        events.record(EventKind::PlatformChanged, None, detail);
    }
}
