//! The lease at one node when responses of the table service are lost and when the service is out.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_config::Settings;
use fl_kernel::Node;
use fl_node::lease::{self, LeaseService};
use fl_node::{ServiceContext, StartError};
use fl_standins::{
    Outage, TableService, TableServiceFaults, TableServiceHandle, TableServiceOptions,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(40);

async fn table() -> TableServiceHandle {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    TableService::start(any_port, TableServiceOptions::default()).await.unwrap()
}

fn start(table: &TableServiceHandle) -> Result<Arc<LeaseService>, StartError> {
    let (key, ip, address) = ("07".repeat(32), "127.0.0.1", table.address());
    let text = format!(
        "[node]\nvm = a1\ndata_center = dc-a\nregion = r\n[listen]\ncallers = {ip}:1\n\
         peer = {ip}:2\ngossip = {ip}:3\nadmin = {ip}:9090\n[platform]\ntable = {address}\n\
         objects = {ip}:5\nvm_list = {ip}:6\ncloud = {ip}:7\nweights = {ip}:8\n\
         request_timeout_ms = 300\n[fleet]\nkey_hex = {key}\n"
    );
    let node = Node::new();
    lease::start(&ServiceContext {
        runtime: tokio::runtime::Handle::current(),
        settings: Arc::new(Settings::parse(&text).unwrap()),
        registry: node.registry(),
        draining: node.draining_token(),
        shutdown: node.shutdown_token(),
        tasks: node.tasks(),
    })
}

async fn wait_for_token(service: &LeaseService, holds: impl Fn(Option<u64>) -> bool) {
    let started_at = Instant::now();
    while !holds(service.fencing_token()) {
        assert!(started_at.elapsed() < TIMEOUT, "fencing stayed {:?}", service.fencing_token());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A write whose response is lost or late may have taken effect. The node must find its row in
/// the table and hold the lease instead of waiting for its own lease to expire.
#[rstest]
#[case::first_answer(TableServiceFaults { lose_answers: 1, ..TableServiceFaults::default() })]
#[case::all_answers(TableServiceFaults { lose_all_answers: true, ..TableServiceFaults::default() })]
#[case::transactions(TableServiceFaults { lose_transactions: 2, ..TableServiceFaults::default() })]
#[case::slow(TableServiceFaults { slow_after_effect_ms: 600, ..TableServiceFaults::default() })]
#[tokio::test]
async fn finds_unconfirmed_write(#[case] faults: TableServiceFaults) {
    let table = table().await;
    table.set_faults(faults);
    let service = start(&table).unwrap();
    wait_for_token(&service, |fencing_token| fencing_token == Some(1)).await;
}

/// A node that cannot renew the lease must stop using it when it expires, since another node may
/// then take it over; after the outage it gets a new fencing token.
#[rstest]
#[case::refused(Outage::Unavailable)]
#[case::frozen(Outage::Frozen)]
#[tokio::test]
async fn lease_expires_in_outage(#[case] outage: Outage) {
    let table = table().await;
    let service = start(&table).unwrap();
    wait_for_token(&service, |fencing_token| fencing_token == Some(1)).await;
    table.set_faults(TableServiceFaults { outage, ..TableServiceFaults::default() });
    wait_for_token(&service, |fencing_token| fencing_token.is_none()).await;
    table.set_faults(TableServiceFaults::default());
    wait_for_token(&service, |fencing_token| fencing_token == Some(2)).await;
}
