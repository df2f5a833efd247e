//! The configuration in force at one node: none before the first one is read, kept during outages
//! of the platform, and never replaced by an older version.

#![allow(clippy::unwrap_used)]

use fl_config::Settings;
use fl_kernel::Node;
use fl_kernel::services::ConfigurationSource;
use fl_node::{ServiceContext, configuration};
use fl_platform::ConfigurationStore;
use fl_protocol::Configuration;
use fl_standins::{
    ObjectStore, ObjectStoreFaults, Outage, TableService, TableServiceFaults, TableServiceOptions,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

fn context(table: SocketAddr, objects: SocketAddr) -> ServiceContext {
    let key = "07".repeat(32);
    let ip = "127.0.0.1";
    let text = format!(
        "[node]\nvm = a1\ndata_center = dc-a\nregion = r\n[listen]\ncallers = {ip}:1\n\
         peer = {ip}:2\ngossip = {ip}:3\nadmin = {ip}:9090\n[platform]\ntable = {table}\n\
         objects = {objects}\nvm_list = {ip}:6\ncloud = {ip}:7\nweights = {ip}:8\n\
         request_timeout_ms = 300\n[fleet]\nkey_hex = {key}\n"
    );
    let node = Node::new();
    ServiceContext {
        runtime: tokio::runtime::Handle::current(),
        settings: Arc::new(Settings::parse(&text).unwrap()),
        registry: node.registry(),
        draining: node.draining_token(),
        shutdown: node.shutdown_token(),
        tasks: node.tasks(),
    }
}

async fn wait_for(source: &dyn ConfigurationSource, version: u64) {
    let mut changes = source.subscribe();
    let arrived = changes.wait_for(|current| current.version == version);
    tokio::time::timeout(TIMEOUT, arrived).await.unwrap().unwrap();
}

/// The configuration must stay in force while the table or the object store refuses or freezes, and
/// the next version must arrive after the outage.
#[rstest]
#[case::refused(Outage::Unavailable, Outage::None)]
#[case::frozen(Outage::Frozen, Outage::None)]
#[case::body_refused(Outage::None, Outage::Unavailable)]
#[case::body_frozen(Outage::None, Outage::Frozen)]
#[tokio::test]
async fn outage_keeps_configuration(#[case] table_outage: Outage, #[case] objects_outage: Outage) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let table = TableService::start(any_port, TableServiceOptions::default()).await.unwrap();
    let objects = ObjectStore::start(any_port).await.unwrap();
    let store = ConfigurationStore::new(table.address(), objects.address(), TIMEOUT);
    let source = configuration::start(&context(table.address(), objects.address())).unwrap();
    assert_eq!(source.current().version, 0);
    let push = async |parent_version: u64| {
        let pushed = Configuration { parent_version, ..Configuration::default() };
        store.push(&pushed, &parent_version.to_string(), TIMEOUT).await.unwrap();
    };
    push(0).await;
    wait_for(source.as_ref(), 1).await;
    push(1).await;
    table.set_faults(TableServiceFaults { outage: table_outage, ..TableServiceFaults::default() });
    objects
        .set_faults(ObjectStoreFaults { outage: objects_outage, ..ObjectStoreFaults::default() });
    assert!(source.current().version >= 1);
    table.set_faults(TableServiceFaults::default());
    objects.set_faults(ObjectStoreFaults::default());
    wait_for(source.as_ref(), 2).await;
}

/// An offer from a lagging peer or operator must not replace a newer configuration.
#[tokio::test]
async fn older_version_refused() {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let source = configuration::start(&context(unreachable, unreachable)).unwrap();
    let mut highest = 0;
    for version in [3, 1, 3, 2, 7, 6, 7, 8, 0] {
        let offered = Configuration { version, ..Configuration::default() };
        assert_eq!(source.apply_if_newer(offered), version > highest);
        highest = highest.max(version);
        assert_eq!(source.current().version, highest);
    }
}
