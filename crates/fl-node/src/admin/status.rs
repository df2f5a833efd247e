//! Collects the status of the node from its services.

use super::AdminState;
use crate::readiness::{READINESS, Readiness};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Backend, ConfigurationSource, Directory, Membership};
use fl_protocol::admin::{BackendCount, StatusPage};
use fl_protocol::platform::VmKind;
use fl_protocol::{ConfigurationVersion, Member};

const BACKEND_KINDS: [VmKind; 2] = [VmKind::Runner, VmKind::Application];

/// Returns the status page; the fields of a service that is not registered yet are left empty.
pub(super) fn collect_status(state: &AdminState) -> StatusPage {
    let not_ready_reasons = not_ready_reasons(state);
    StatusPage {
        vm: state.context.settings.node.vm.clone(),
        data_center: state.context.settings.node.data_center.clone(),
        now_ms: unix_ms(),
        ready: not_ready_reasons.is_empty(),
        not_ready_reasons,
        configuration_version: configuration_version(state),
        members: members(state),
        backends: backends(state),
    }
}

/// Returns the reasons why the load balancer must not choose this node; empty when it may.
pub(super) fn not_ready_reasons(state: &AdminState) -> Vec<String> {
    match state.registry().find::<Readiness>(READINESS) {
        Ok(readiness) => readiness.not_ready_reasons(),
        Err(_) => vec!["the node is starting".to_string()],
    }
}

fn configuration_version(state: &AdminState) -> ConfigurationVersion {
    let found = state.registry().find::<dyn ConfigurationSource>(names::CONFIGURATION);
    found.map_or(0, |source| source.current().version)
}

fn members(state: &AdminState) -> Vec<Member> {
    let found = state.registry().find::<dyn Membership>(names::MEMBERSHIP);
    found.map(|membership| membership.members()).unwrap_or_default()
}

fn backends(state: &AdminState) -> Vec<BackendCount> {
    let Ok(directory) = state.registry().find::<dyn Directory>(names::DIRECTORY) else {
        return Vec::new();
    };
    BACKEND_KINDS.map(|kind| count_backends(kind, &directory.backends(kind))).to_vec()
}

fn count_backends(kind: VmKind, backends: &[Backend]) -> BackendCount {
    let count = |matches: fn(&Backend) -> bool| backends.iter().filter(|b| matches(b)).count();
    BackendCount {
        kind,
        known: backends.len(),
        healthy: count(|backend| backend.healthy),
        leaving: count(|backend| backend.leaving_at_ms.is_some() || backend.vm.leaving),
    }
}
