//! A pushed configuration reaches every node despite partitions and an outage of the platform.
//!
//! No node ever replaces the configuration in force by an older version.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::admin::{STATUS_PATH, StatusPage, TIME_LINE_PATH};
use fl_protocol::event::EventKind;
use fl_protocol::{Configuration, ConfigurationVersion};
use fl_standins::{ObjectStoreFaults, Outage, TableServiceFaults};
use fl_testbed::testbed::default_configuration;
use fl_testbed::{PLATFORM, Testbed, TestbedOptions, wait_until};
use fl_timeline::TimeLinePage;
use rstest::rstest;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
const ALL_NODES: [usize; 6] = [0, 1, 2, 3, 4, 5];
const OUTSIDE_DC_B: [usize; 4] = [0, 2, 3, 5];

fn options() -> TestbedOptions {
    TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
}

fn new_configuration(parent_version: ConfigurationVersion) -> Configuration {
    Configuration { parent_version, ..default_configuration() }
}

async fn read_status(bed: &Testbed, node: usize) -> Option<StatusPage> {
    let uri = format!("http://{}{STATUS_PATH}", bed.nodes[node].admin_address);
    HttpClient::new(ConnectionReuse::Never).get_json(&uri, TIMEOUT).await.ok()
}

async fn all_have(bed: &Testbed, nodes: &[usize], version: ConfigurationVersion) -> bool {
    for node in nodes {
        let page = read_status(bed, *node).await;
        if page.is_none_or(|page| page.configuration_version != version) {
            return false;
        }
    }
    true
}

/// Checks that no process of a node put a version into force after a higher one.
async fn assert_never_older(bed: &Testbed) {
    for node in &bed.nodes {
        let uri = format!("http://{}{TIME_LINE_PATH}", node.admin_address);
        let http = HttpClient::new(ConnectionReuse::Never);
        let page: TimeLinePage = http.get_json(&uri, TIMEOUT).await.unwrap();
        let in_force =
            page.events.iter().filter(|event| event.kind == EventKind::ConfigurationInForce);
        let versions: Vec<u64> = in_force
            .map(|event| event.detail.split(' ').nth(1).unwrap().parse().unwrap())
            .collect();
        assert!(!versions.is_empty(), "{} put nothing into force", node.vm);
        assert!(versions.is_sorted(), "{}: {versions:?}", node.vm);
    }
}

fn set_outage(bed: &Testbed, outage: Outage) {
    bed.table.set_faults(TableServiceFaults { outage, ..TableServiceFaults::default() });
    bed.objects.set_faults(ObjectStoreFaults { outage, ..ObjectStoreFaults::default() });
}

#[rstest]
#[case::connected(false)]
#[case::one_partitioned_from_platform(true)]
#[tokio::test]
async fn push_reaches_all_nodes(#[case] partitioned: bool) {
    let bed = Testbed::start(options()).await;
    if partitioned {
        bed.network.partition("dc-b", PLATFORM);
    }
    for version in 2..=4 {
        bed.push_configuration(&new_configuration(version - 1)).await;
        wait_until("in force everywhere", async || all_have(&bed, &ALL_NODES, version).await).await;
    }
    assert_never_older(&bed).await;
}

#[tokio::test]
async fn partitioned_nodes_catch_up() {
    let bed = Testbed::start(options()).await;
    for other in ["dc-a", "dc-c", PLATFORM] {
        bed.network.partition("dc-b", other);
    }
    for version in 2..=4 {
        bed.push_configuration(&new_configuration(version - 1)).await;
        wait_until("in force outside", async || all_have(&bed, &OUTSIDE_DC_B, version).await).await;
    }
    assert!(all_have(&bed, &[1, 4], 1).await, "the partitioned nodes must keep their last version");
    bed.network.heal();
    wait_until("in force everywhere", async || all_have(&bed, &ALL_NODES, 4).await).await;
    assert_never_older(&bed).await;
}

#[rstest]
#[case::refused(Outage::Unavailable)]
#[case::frozen(Outage::Frozen)]
#[tokio::test]
async fn nodes_restart_from_peers(#[case] outage: Outage) {
    let mut bed = Testbed::start(options()).await;
    bed.push_configuration(&new_configuration(1)).await;
    wait_until("in force", async || all_have(&bed, &ALL_NODES, 2).await).await;
    set_outage(&bed, outage);
    for index in ALL_NODES {
        bed.nodes[index].kill();
        bed.nodes[index].start();
        wait_until("started from its peers", async || all_have(&bed, &[index], 2).await).await;
    }
    set_outage(&bed, Outage::None);
    bed.push_configuration(&new_configuration(2)).await;
    wait_until("in force", async || all_have(&bed, &ALL_NODES, 3).await).await;
    assert_never_older(&bed).await;
}

#[tokio::test]
async fn not_ready_without_configuration() {
    let mut single_node = options();
    (single_node.nodes, single_node.data_centers) = (1, 1);
    (single_node.configuration, single_node.wait_ready) = (None, false);
    let bed = Testbed::start(single_node).await;
    wait_until("the node reports why it is not ready", async || {
        let page = read_status(&bed, 0).await;
        page.is_some_and(|page| !page.ready && page.not_ready_reasons[0].contains("configuration"))
    })
    .await;
    bed.push_configuration(&new_configuration(0)).await;
    wait_until("ready", async || read_status(&bed, 0).await.is_some_and(|page| page.ready)).await;
}
