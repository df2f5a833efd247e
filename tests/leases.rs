//! A lease holder that is paused past the end of its lease gives no orders when it resumes.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_platform::orders::{OrderClient, OrderError};
use fl_platform::{ConnectionReuse, EngineReportClient, HttpClient};
use fl_protocol::admin::TIME_LINE_PATH;
use fl_protocol::engine::EngineOrder;
use fl_protocol::event::{Event, EventKind};
use fl_protocol::{Configuration, Model};
use fl_standins::{EngineOptions, FencingMode};
use fl_testbed::testbed::default_configuration;
use fl_testbed::{Testbed, TestbedOptions, wait_until};
use fl_timeline::TimeLinePage;
use rstest::rstest;
use serde::Deserialize;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct LeaseRow {
    holder: String,
    fencing: u64,
}

fn read_lease(bed: &Testbed) -> Option<LeaseRow> {
    let rows = bed.table.rows("leases");
    let row = rows.iter().find(|row| row.key == "dc-a")?;
    serde_json::from_str(&row.value).ok()
}

fn configuration_with_models(parent_version: u64, names: &[&str]) -> Configuration {
    let model = |name: &&str| Model {
        name: name.to_string(),
        adapters: Vec::new(),
        weights_bytes: 1_000,
        copies_per_data_center: 1,
    };
    let models = names.iter().map(model).collect();
    Configuration { parent_version, models, ..default_configuration() }
}

async fn engine_serves(bed: &Testbed, models: &[&str]) -> bool {
    let address = bed.engines[0].address().to_string();
    let state = EngineReportClient::new(TIMEOUT).read_state(&address).await;
    state.is_ok_and(|state| state.models == models)
}

async fn read_events(bed: &Testbed, node: usize, kind: EventKind) -> Vec<Event> {
    let uri = format!("http://{}{TIME_LINE_PATH}", bed.nodes[node].admin_address);
    let page =
        HttpClient::new(ConnectionReuse::Never).get_json::<TimeLinePage>(&uri, TIMEOUT).await;
    let events = page.map(|page| page.events).unwrap_or_default();
    events.into_iter().filter(|event| event.kind == kind).collect()
}

#[rstest]
#[case::engine_checks_token(FencingMode::Check)]
#[case::engine_ignores_token(FencingMode::Ignore)]
#[tokio::test]
async fn paused_holder_fenced(#[case] fencing: FencingMode) {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    options.engine = EngineOptions { fencing, ..options.engine };
    let bed = Testbed::start(options).await;
    bed.push_configuration(&configuration_with_models(1, &["fit", "plan"])).await;
    wait_until("first order applied", async || engine_serves(&bed, &["fit", "plan"]).await).await;

    let first = read_lease(&bed).unwrap();
    let old_holder = bed.nodes.iter().position(|node| node.vm == first.holder).unwrap();
    bed.nodes[old_holder].pause();
    wait_until("lease taken over", async || read_lease(&bed).unwrap().fencing > first.fencing)
        .await;
    assert_ne!(read_lease(&bed).unwrap().holder, first.holder);
    bed.push_configuration(&configuration_with_models(2, &["fit"])).await;
    wait_until("second order applied", async || engine_serves(&bed, &["fit"]).await).await;

    // Stands for an order that the old holder sent just before it was paused.
    let late = EngineOrder {
        fencing: first.fencing,
        models: vec!["fit".to_string(), "plan".to_string()],
        role: "serve".to_string(),
    };
    let orders = OrderClient::new(bed.cloud.address(), TIMEOUT);
    let result = orders.send_order(&bed.engines[0].address().to_string(), &late).await;
    assert_eq!(result == Err(OrderError::StaleFencingToken), fencing == FencingMode::Check);
    bed.nodes[old_holder].resume();
    wait_until("stale order undone", async || engine_serves(&bed, &["fit"]).await).await;

    wait_until("the old holder notices that its lease lapsed", async || {
        let changes = read_events(&bed, old_holder, EventKind::LeaseChanged).await;
        changes.iter().any(|event| event.detail.contains("lapsed"))
    })
    .await;
    let lease_changes = read_events(&bed, old_holder, EventKind::LeaseChanged).await;
    let lapsed_at =
        lease_changes.iter().find(|event| event.detail.contains("lapsed")).unwrap().stamp;
    let orders_given = read_events(&bed, old_holder, EventKind::OrderGiven).await;
    assert!(orders_given.iter().all(|event| event.stamp < lapsed_at), "{orders_given:?}");
    assert!(engine_serves(&bed, &["fit"]).await);
}

#[tokio::test]
async fn lease_released_on_shutdown() {
    let mut bed = Testbed::start(TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))).await;
    wait_until("held", async || read_lease(&bed).is_some()).await;
    let first = read_lease(&bed).unwrap();
    let holder = bed.nodes.iter().position(|node| node.vm == first.holder).unwrap();
    bed.nodes[holder].terminate();
    assert!(bed.nodes[holder].wait().await.success());
    wait_until("held by another", async || {
        let now = read_lease(&bed).unwrap();
        !now.holder.is_empty() && now.holder != first.holder && now.fencing > first.fencing
    })
    .await;
}
