//! Leases among processes: a holder that is paused past its lease and wakes.

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

fn lease(bed: &Testbed) -> Option<LeaseRow> {
    let rows = bed.table.rows("leases");
    let row = rows.iter().find(|row| row.key == "dc-a")?;
    serde_json::from_str(&row.value).ok()
}

fn with_models(parent_version: u64, names: &[&str]) -> Configuration {
    let model = |name: &&str| Model {
        name: name.to_string(),
        adapters: Vec::new(),
        weights_bytes: 1_000,
        copies_per_data_center: 1,
    };
    let models = names.iter().map(model).collect();
    Configuration { parent_version, models, ..default_configuration() }
}

async fn engine_holds(bed: &Testbed, models: &[&str]) -> bool {
    let address = bed.engines[0].address().to_string();
    let state = EngineReportClient::new(TIMEOUT).read_state(&address).await;
    state.is_ok_and(|state| state.models == models)
}

async fn events(bed: &Testbed, node: usize, kind: EventKind) -> Vec<Event> {
    let uri = format!("http://{}{TIME_LINE_PATH}", bed.nodes[node].admin_address);
    let page =
        HttpClient::new(ConnectionReuse::Never).get_json::<TimeLinePage>(&uri, TIMEOUT).await;
    let events = page.map(|page| page.events).unwrap_or_default();
    events.into_iter().filter(|event| event.kind == kind).collect()
}

#[rstest]
#[case::checking(FencingMode::Check)]
#[case::ignoring(FencingMode::Ignore)]
#[tokio::test]
async fn paused_holder(#[case] fencing: FencingMode) {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    options.engine = EngineOptions { fencing, ..options.engine };
    let bed = Testbed::start(options).await;
    bed.push_configuration(&with_models(1, &["fit", "plan"])).await;
    wait_until("first order obeyed", async || engine_holds(&bed, &["fit", "plan"]).await).await;

    let first = lease(&bed).unwrap();
    let old_holder = bed.nodes.iter().position(|node| node.vm == first.holder).unwrap();
    bed.nodes[old_holder].pause();
    wait_until("taken over", async || lease(&bed).unwrap().fencing > first.fencing).await;
    assert_ne!(lease(&bed).unwrap().holder, first.holder);
    bed.push_configuration(&with_models(2, &["fit"])).await;
    wait_until("new holder obeyed", async || engine_holds(&bed, &["fit"]).await).await;

    // The order of the old holder that was on its way when it was paused.
    let late = EngineOrder {
        fencing: first.fencing,
        models: vec!["fit".to_string(), "plan".to_string()],
        role: "serve".to_string(),
    };
    let orders = OrderClient::new(bed.cloud.address(), TIMEOUT);
    let answer = orders.send_order(&bed.engines[0].address().to_string(), &late).await;
    assert_eq!(answer == Err(OrderError::StaleFencingToken), fencing == FencingMode::Check);
    bed.nodes[old_holder].resume();
    wait_until("repaired", async || engine_holds(&bed, &["fit"]).await).await;

    wait_until("old holder knows", async || {
        let changes = events(&bed, old_holder, EventKind::LeaseChanged).await;
        changes.iter().any(|event| event.detail.contains("lapsed"))
    })
    .await;
    let lapse = events(&bed, old_holder, EventKind::LeaseChanged).await;
    let lapsed_at = lapse.iter().find(|event| event.detail.contains("lapsed")).unwrap().stamp;
    let given = events(&bed, old_holder, EventKind::OrderGiven).await;
    assert!(given.iter().all(|event| event.stamp < lapsed_at), "{given:?}");
    assert!(engine_holds(&bed, &["fit"]).await);
}

#[tokio::test]
async fn release_on_stop() {
    let mut bed = Testbed::start(TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))).await;
    wait_until("held", async || lease(&bed).is_some()).await;
    let first = lease(&bed).unwrap();
    let holder = bed.nodes.iter().position(|node| node.vm == first.holder).unwrap();
    bed.nodes[holder].terminate();
    assert!(bed.nodes[holder].wait().await.success());
    wait_until("held by another", async || {
        let now = lease(&bed).unwrap();
        !now.holder.is_empty() && now.holder != first.holder && now.fencing > first.fencing
    })
    .await;
}
