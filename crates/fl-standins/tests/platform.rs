//! The stand-ins of the platform services and of the plain service, with their faults.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/client.rs"]
#[allow(dead_code, reason = "each test file uses a part of the client")]
mod client;

use bytes::Bytes;
use client::*;
use fl_protocol::platform::*;
use fl_standins::*;
use http::StatusCode;
use rstest::rstest;
use std::time::Duration;

fn put_transaction(key: &str, revision: u64) -> Transaction {
    let (table, key) = ("claims".to_string(), key.to_string());
    let put = Put { table: table.clone(), key: key.clone(), value: format!("after {revision}") };
    Transaction { conditions: vec![Condition { table, key, revision }], puts: vec![put] }
}

async fn run_transaction(
    table: &TableServiceHandle,
    transaction: &Transaction,
) -> Option<TransactionResponse> {
    let body = serde_json::to_vec(transaction).unwrap();
    let response = call(table.address(), "POST", "/v1/transactions", &[], body).await.ok()?;
    serde_json::from_slice(&response.1).ok()
}

async fn start_table() -> TableServiceHandle {
    TableService::start(fresh_address(), TableServiceOptions::default()).await.unwrap()
}

#[tokio::test]
async fn atomic_transaction() {
    let table = start_table().await;
    let mut both = put_transaction("a", 0);
    both.conditions.extend(put_transaction("b", 1).conditions);
    both.puts.extend(put_transaction("b", 1).puts);
    assert!(!run_transaction(&table, &both).await.unwrap().committed);
    assert!(table.rows("claims").is_empty());
    assert!(run_transaction(&table, &put_transaction("b", 0)).await.unwrap().committed);
    let response = run_transaction(&table, &both).await.unwrap();
    let revisions: Vec<u64> = response.rows.iter().map(|row| row.revision).collect();
    assert_eq!((response.committed, revisions), (true, vec![1, 2]));
    let row: Row = get(table.address(), "/v1/rows/claims/b").await;
    assert_eq!(row.value, "after 1");
    let rows: Vec<Row> = get(table.address(), "/v1/rows/claims?prefix=a").await;
    assert_eq!(rows.len(), 1);
}

#[rstest]
#[case::works(TableServiceFaults::default(), true, 1)]
#[case::response_lost(TableServiceFaults { lose_answers: 1, ..TableServiceFaults::default() }, false, 1)]
#[case::all_responses_lost(TableServiceFaults { lose_all_answers: true, ..TableServiceFaults::default() }, false, 1)]
#[case::transaction_lost(TableServiceFaults { lose_transactions: 1, ..TableServiceFaults::default() }, false, 0)]
#[case::unavailable(TableServiceFaults { outage: Outage::Unavailable, ..TableServiceFaults::default() }, false, 0)]
#[case::closed(TableServiceFaults { outage: Outage::Closed, ..TableServiceFaults::default() }, false, 0)]
#[case::slow(TableServiceFaults { slow_ms: 20, ..TableServiceFaults::default() }, true, 1)]
#[tokio::test]
async fn table_faults(
    #[case] faults: TableServiceFaults,
    #[case] responds: bool,
    #[case] rows: usize,
) {
    let table = start_table().await;
    assert_eq!(send(table.address(), "PUT", "/faults", &faults).await, 200);
    assert_eq!(run_transaction(&table, &put_transaction("a", 0)).await.is_some(), responds);
    assert_eq!(table.rows("claims").len(), rows);
}

#[tokio::test]
async fn rate_limit_exceeded() {
    let table = start_table().await;
    table.set_faults(TableServiceFaults { reads_per_s: 1, ..TableServiceFaults::default() });
    let (first, second) = tokio::join!(
        call(table.address(), "GET", "/v1/rows/claims", &[], Vec::new()),
        call(table.address(), "GET", "/v1/rows/claims", &[], Vec::new()),
    );
    let mut statuses = [first.unwrap().0, second.unwrap().0];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS]);
}

#[rstest]
#[case::works(PlainServiceFaults::default(), Some(201), 1)]
#[case::response_lost(PlainServiceFaults { lose_answers: 1, ..PlainServiceFaults::default() }, None, 1)]
#[case::unavailable(PlainServiceFaults { outage: Outage::Unavailable, ..PlainServiceFaults::default() }, Some(503), 0)]
#[case::failed_before(PlainServiceFaults { fail_before_effect: true, ..PlainServiceFaults::default() }, Some(500), 0)]
#[case::failed_after(PlainServiceFaults { fail_after_effect: true, ..PlainServiceFaults::default() }, Some(500), 1)]
#[tokio::test]
async fn booking_faults(
    #[case] faults: PlainServiceFaults,
    #[case] status: Option<u16>,
    #[case] runs: u64,
) {
    let options = PlainServiceOptions::default();
    let service = PlainService::start(fresh_address(), options).await.unwrap();
    service.set_faults(faults);
    let headers = [("idempotency-key", "k")];
    let response = call(service.address(), "POST", "/bookings", &headers, Vec::new()).await;
    assert_eq!(response.ok().map(|response| response.0.as_u16()), status);
    assert_eq!(service.run_count("k"), runs);
}

/// Drops a call after 100 ms without a response, as a caller that is killed does.
async fn abandon(exchange: impl Future<Output = Result<(StatusCode, Bytes), String>>) {
    assert!(tokio::time::timeout(Duration::from_millis(100), exchange).await.is_err());
}

/// Guards against a booking that is dropped when its caller disconnects before it takes effect.
#[tokio::test]
async fn booking_after_disconnect() {
    let options = PlainServiceOptions::default();
    let service = PlainService::start(fresh_address(), options).await.unwrap();
    let faults = PlainServiceFaults { delay_before_effect_ms: 300, ..Default::default() };
    service.set_faults(faults);
    let headers = [("idempotency-key", "k")];
    abandon(call(service.address(), "POST", "/bookings", &headers, Vec::new())).await;
    assert_eq!(service.run_count("k"), 0);
    wait_until(|| async { service.run_count("k") == 1 }).await;
}

/// Guards against a transaction that is dropped when its caller disconnects before it takes effect.
#[tokio::test]
async fn write_after_disconnect() {
    let table = start_table().await;
    table.set_faults(TableServiceFaults { slow_ms: 300, ..TableServiceFaults::default() });
    let body = serde_json::to_vec(&put_transaction("a", 0)).unwrap();
    abandon(call(table.address(), "POST", "/v1/transactions", &[], body)).await;
    wait_until(|| async { table.rows("claims").len() == 1 }).await;
}

/// Guards against a lost response that also loses the write.
#[tokio::test]
async fn write_without_response() {
    let objects = ObjectStore::start(fresh_address()).await.unwrap();
    objects.set_faults(ObjectStoreFaults { lose_answers: 1, ..ObjectStoreFaults::default() });
    let body = b"body".to_vec();
    assert!(call(objects.address(), "PUT", "/v1/objects/o", &[], body).await.is_err());
    let (status, body) =
        call(objects.address(), "GET", "/v1/objects/o", &[], Vec::new()).await.unwrap();
    assert_eq!((status, body.as_ref()), (StatusCode::OK, b"body".as_ref()));
}

fn runner_vm(name: &str) -> Vm {
    Vm {
        name: name.to_string(),
        kind: VmKind::Runner,
        pool: "models".to_string(),
        data_center: "dc-a".to_string(),
        address: "127.0.0.1:1".to_string(),
        machine_class: "large".to_string(),
        reclaimable: true,
        leaving: false,
    }
}

#[rstest]
#[case::delayed(3_600_000, false)]
#[case::fresh(0, true)]
#[tokio::test]
async fn delayed_vm_list(#[case] list_lag_ms: u64, #[case] leaving: bool) {
    let options = CloudOptions { list_lag_ms, ..CloudOptions::default() };
    let cloud = Cloud::start(fresh_address(), options).await.unwrap();
    cloud.set_vms(vec![runner_vm("b"), runner_vm("a")]);
    cloud.announce_reclaim(ReclaimNotice { vm: "a".to_string(), leaving_at_ms: 5 });
    let notices: Vec<ReclaimNotice> = get(cloud.address(), "/v1/notices").await;
    assert_eq!(notices.len(), 1);
    let listed: Vec<Vm> = get(cloud.address(), "/v1/vms").await;
    assert_eq!(listed.iter().map(|vm| vm.leaving).collect::<Vec<_>>(), [leaving, false]);
}

#[rstest]
#[case::starts(CloudFaults::default(), 200, 1)]
#[case::refused(CloudFaults { refuse_next_starts: 1, ..CloudFaults::default() }, 409, 0)]
#[case::refused_in_data_center(CloudFaults { refusing_data_centers: vec!["dc-a".to_string()], ..CloudFaults::default() }, 409, 0)]
#[case::never_appears(CloudFaults { never_start: true, ..CloudFaults::default() }, 200, 0)]
#[tokio::test]
async fn vm_starts(#[case] faults: CloudFaults, #[case] status: u16, #[case] vms: usize) {
    let cloud = Cloud::start(fresh_address(), CloudOptions::default()).await.unwrap();
    cloud.set_faults(faults);
    let order = StartVm {
        kind: VmKind::Runner,
        pool: "models".to_string(),
        data_center: "dc-a".to_string(),
        machine_class: "large".to_string(),
        reclaimable: true,
    };
    assert_eq!(send(cloud.address(), "POST", "/v1/vms", &order).await, status);
    assert_eq!(cloud.vms().len(), vms);
}
