//! Tests the merged table of backend servers: any source can mark a server as leaving, and the VM
//! list never revokes the mark.

use fl_protocol::engine::LoadReport;
use fl_protocol::platform::{ReclaimNotice, Vm, VmKind};
use fl_routing::servers::ServerTable;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;
const END_MS: u64 = 1_020_000;

fn vm(name: &str, leaving: bool) -> Vm {
    Vm {
        name: name.to_string(),
        kind: VmKind::Runner,
        pool: "runners".to_string(),
        data_center: "dc1".to_string(),
        address: "127.0.0.1:1".to_string(),
        machine_class: "standard".to_string(),
        reclaimable: true,
        leaving,
    }
}

fn report(leaving_at_ms: Option<u64>) -> LoadReport {
    LoadReport { as_of_ms: NOW_MS, leaving_at_ms, ..LoadReport::default() }
}

fn notice() -> ReclaimNotice {
    ReclaimNotice { vm: "r1".to_string(), leaving_at_ms: END_MS }
}

fn leaving(table: &ServerTable) -> bool {
    let servers = table.servers(VmKind::Runner, NOW_MS);
    servers.iter().any(|server| server.vm.name == "r1" && server.vm.leaving)
}

#[rstest]
#[case::notice(|table: &mut ServerTable| {
    table.apply_notices(&[notice()]);
})]
#[case::load_report(|table: &mut ServerTable| {
    table.apply_report("r1", report(Some(END_MS)));
})]
#[case::peer_notice(|table: &mut ServerTable| {
    table.mark_leaving("r1", END_MS);
})]
#[case::vm_list(|table: &mut ServerTable| {
    table.apply_list(vec![vm("r1", true)], NOW_MS);
})]
fn any_source_marks_leaving(#[case] announce: fn(&mut ServerTable)) {
    let mut table = ServerTable::default();
    table.apply_list(vec![vm("r1", false)], NOW_MS);
    assert!(!leaving(&table));
    announce(&mut table);
    assert!(leaving(&table));
    table.apply_list(vec![vm("r1", false)], NOW_MS);
    table.apply_report("r1", report(None));
    table.apply_notices(&[]);
    assert!(leaving(&table), "a lagging list, report or notice revoked the mark");
}

#[test]
fn notice_before_list() {
    let mut table = ServerTable::default();
    assert_eq!(table.apply_notices(&[notice()]), vec![notice()]);
    assert!(table.apply_notices(&[notice()]).is_empty(), "an old notice counted as new");
    table.apply_list(vec![vm("r1", false)], NOW_MS);
    assert!(leaving(&table));
}

#[test]
fn empty_list_ignored() {
    let mut table = ServerTable::default();
    table.apply_list(vec![vm("r1", false)], NOW_MS);
    table.apply_list(Vec::new(), NOW_MS);
    assert_eq!(table.vms().len(), 1);
}

#[test]
fn earliest_announced_time_wins() {
    let mut table = ServerTable::default();
    table.apply_list(vec![vm("r1", true)], NOW_MS);
    table.mark_leaving("r1", END_MS + 5);
    assert_eq!(
        table.leaving_at_ms("r1"),
        Some(END_MS + 5),
        "an announced time replaces the assumed one"
    );
    table.mark_leaving("r1", END_MS);
    table.mark_leaving("r1", END_MS + 9);
    assert_eq!(table.leaving_at_ms("r1"), Some(END_MS));
}

#[test]
fn backoff_after_failures() {
    let mut table = ServerTable::default();
    table.apply_list(vec![vm("r1", false)], NOW_MS);
    let healthy = |table: &ServerTable, at_ms| table.servers(VmKind::Runner, at_ms)[0].healthy;
    table.record_contact("r1", false, NOW_MS);
    assert!(!healthy(&table, NOW_MS));
    assert!(healthy(&table, NOW_MS + 500), "a server is healthy again after its backoff");
    table.record_contact("r1", false, NOW_MS + 500);
    assert!(!healthy(&table, NOW_MS + 1_400), "the backoff doubles");
    table.record_contact("r1", true, NOW_MS + 1_400);
    assert!(healthy(&table, NOW_MS + 1_400));
}
