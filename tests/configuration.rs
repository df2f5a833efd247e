//! Configurations among processes: spread, cuts, restarts in an outage, and never an older version.

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
const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
const OUTSIDE_DC_B: [usize; 4] = [0, 2, 3, 5];

fn options() -> TestbedOptions {
    TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
}

fn built_on(parent_version: ConfigurationVersion) -> Configuration {
    Configuration { parent_version, ..default_configuration() }
}

async fn status(bed: &Testbed, node: usize) -> Option<StatusPage> {
    let uri = format!("http://{}{STATUS_PATH}", bed.nodes[node].admin_address);
    HttpClient::new(ConnectionReuse::Never).get_json(&uri, TIMEOUT).await.ok()
}

async fn all_have(bed: &Testbed, nodes: &[usize], version: ConfigurationVersion) -> bool {
    for node in nodes {
        let page = status(bed, *node).await;
        if page.is_none_or(|page| page.configuration_version != version) {
            return false;
        }
    }
    true
}

/// No life of a node ever put a version into force after a higher one.
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
#[case::whole(false)]
#[case::one_cut_from_platform(true)]
#[tokio::test]
async fn push_spreads(#[case] cut: bool) {
    let bed = Testbed::start(options()).await;
    if cut {
        bed.network.partition("dc-b", PLATFORM);
    }
    for version in 2..=4 {
        bed.push_configuration(&built_on(version - 1)).await;
        wait_until("in force everywhere", async || all_have(&bed, &ALL, version).await).await;
    }
    assert_never_older(&bed).await;
}

#[tokio::test]
async fn cut_off_catches_up() {
    let bed = Testbed::start(options()).await;
    for other in ["dc-a", "dc-c", PLATFORM] {
        bed.network.partition("dc-b", other);
    }
    for version in 2..=4 {
        bed.push_configuration(&built_on(version - 1)).await;
        wait_until("in force outside", async || all_have(&bed, &OUTSIDE_DC_B, version).await).await;
    }
    assert!(all_have(&bed, &[1, 4], 1).await, "the far side serves its last version");
    bed.network.heal();
    wait_until("in force everywhere", async || all_have(&bed, &ALL, 4).await).await;
    assert_never_older(&bed).await;
}

#[rstest]
#[case::refused(Outage::Unavailable)]
#[case::frozen(Outage::Frozen)]
#[tokio::test]
async fn restarts_in_outage(#[case] outage: Outage) {
    let mut bed = Testbed::start(options()).await;
    bed.push_configuration(&built_on(1)).await;
    wait_until("in force", async || all_have(&bed, &ALL, 2).await).await;
    set_outage(&bed, outage);
    for index in ALL {
        bed.nodes[index].kill();
        bed.nodes[index].start();
        wait_until("started from its peers", async || all_have(&bed, &[index], 2).await).await;
    }
    set_outage(&bed, Outage::None);
    bed.push_configuration(&built_on(2)).await;
    wait_until("in force", async || all_have(&bed, &ALL, 3).await).await;
    assert_never_older(&bed).await;
}

#[tokio::test]
async fn nobody_to_ask() {
    let mut lonely = options();
    (lonely.nodes, lonely.data_centers) = (1, 1);
    (lonely.configuration, lonely.wait_ready) = (None, false);
    let bed = Testbed::start(lonely).await;
    wait_until("it says why", async || {
        let page = status(&bed, 0).await;
        page.is_some_and(|page| !page.ready && page.not_ready_reasons[0].contains("configuration"))
    })
    .await;
    bed.push_configuration(&built_on(0)).await;
    wait_until("ready", async || status(&bed, 0).await.is_some_and(|page| page.ready)).await;
}
