//! Pushes of configurations: conflicts, races, lost responses and outages.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use fl_platform::{ConfigurationStore, ObjectStoreClient, PushError};
use fl_protocol::Configuration;
use fl_standins::{
    ObjectStore, ObjectStoreFaults, ObjectStoreHandle, Outage, TableService, TableServiceFaults,
    TableServiceHandle, TableServiceOptions,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(300);
const PUSH_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_PUSH_TIMEOUT: Duration = Duration::from_millis(600);

struct Platform {
    table: TableServiceHandle,
    objects: ObjectStoreHandle,
}

impl Platform {
    async fn start() -> Platform {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let table = TableService::start(any, TableServiceOptions::default()).await.unwrap();
        Platform { table, objects: ObjectStore::start(any).await.unwrap() }
    }

    fn store(&self) -> ConfigurationStore {
        ConfigurationStore::new(self.table.address(), self.objects.address(), TIMEOUT)
    }
}

fn configuration(operator: &str, parent_version: u64) -> Configuration {
    let operator = operator.to_string();
    Configuration { operator, parent_version, ..Configuration::default() }
}

async fn push(platform: &Platform, operator: &str, parent: u64) -> Result<u64, PushError> {
    let nonce = format!("{operator}-{parent}-{}", rand::random::<u64>());
    let pushed = configuration(operator, parent);
    platform.store().push(&pushed, &nonce, PUSH_TIMEOUT).await.map(|head| head.version)
}

#[tokio::test]
async fn pushed_body_is_read() {
    let platform = Platform::start().await;
    assert_eq!(push(&platform, "ana", 0).await, Ok(1));
    let head = platform.store().read_head().await.unwrap();
    let body = platform.store().read_body(&head).await.unwrap();
    assert_eq!((body.version, body.operator.as_str()), (1, "ana"));
}

#[tokio::test]
async fn stale_parent_gets_conflict() {
    let platform = Platform::start().await;
    push(&platform, "ana", 0).await.unwrap();
    push(&platform, "boris", 1).await.unwrap();
    let expected = PushError::Conflict { version: 2, operator: "boris".to_string() };
    assert_eq!(push(&platform, "ana", 1).await, Err(expected));
}

#[rstest]
#[case::one_lost(TableServiceFaults { lose_answers: 1, ..TableServiceFaults::default() }, ObjectStoreFaults::default())]
#[case::three_lost(TableServiceFaults { lose_answers: 3, ..TableServiceFaults::default() }, ObjectStoreFaults::default())]
#[case::dropped(TableServiceFaults { lose_transactions: 2, ..TableServiceFaults::default() }, ObjectStoreFaults::default())]
#[case::body_lost(TableServiceFaults::default(), ObjectStoreFaults { lose_answers: 2, ..ObjectStoreFaults::default() })]
#[case::both(
    TableServiceFaults { lose_answers: 1, lose_transactions: 1, ..TableServiceFaults::default() },
    ObjectStoreFaults { lose_answers: 1, ..ObjectStoreFaults::default() }
)]
#[tokio::test]
async fn lost_responses_commit_once(
    #[case] table: TableServiceFaults,
    #[case] objects: ObjectStoreFaults,
) {
    let platform = Platform::start().await;
    platform.table.set_faults(table);
    platform.objects.set_faults(objects);
    assert_eq!(push(&platform, "ana", 0).await, Ok(1));
    assert_eq!(platform.table.counters().commits, 1);
}

#[tokio::test]
async fn lost_response_then_next_version() {
    let platform = Platform::start().await;
    let slow = TableServiceFaults { slow_after_effect_ms: 700, ..TableServiceFaults::default() };
    platform.table.set_faults(slow);
    let first = push(&platform, "ana", 0);
    let second = async {
        while platform.store().read_head().await.unwrap().version == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        platform.table.set_faults(TableServiceFaults::default());
        push(&platform, "boris", 1).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!((first, second), (Ok(1), Ok(2)));
}

#[rstest]
#[case::table_out(TableServiceFaults { outage: Outage::Unavailable, ..TableServiceFaults::default() }, ObjectStoreFaults::default())]
#[case::table_frozen(TableServiceFaults { outage: Outage::Frozen, ..TableServiceFaults::default() }, ObjectStoreFaults::default())]
#[case::objects_out(TableServiceFaults::default(), ObjectStoreFaults { outage: Outage::Unavailable, ..ObjectStoreFaults::default() })]
#[tokio::test]
async fn outage_leaves_no_effect(
    #[case] table: TableServiceFaults,
    #[case] objects: ObjectStoreFaults,
) {
    let platform = Platform::start().await;
    platform.table.set_faults(table);
    platform.objects.set_faults(objects);
    let pushed = configuration("ana", 0);
    let result = platform.store().push(&pushed, "nonce", SHORT_PUSH_TIMEOUT).await;
    assert!(matches!(result, Err(PushError::Unavailable(_))), "{result:?}");
    assert_eq!(platform.table.counters().commits, 0);
}

#[tokio::test]
async fn unknown_outcome_reported() {
    let platform = Platform::start().await;
    let store = platform.store();
    let all = TableServiceFaults {
        lose_all_answers: true,
        reads_per_s: 1,
        ..TableServiceFaults::default()
    };
    platform.table.set_faults(all);
    let pushed = configuration("ana", 0);
    let result = store.push(&pushed, "nonce", SHORT_PUSH_TIMEOUT).await;
    assert!(matches!(result, Err(PushError::OutcomeUnknown(_))), "{result:?}");
}

#[tokio::test]
async fn concurrent_pushes_one_winner() {
    let platform = Platform::start().await;
    for round in 0..40u64 {
        let seed = rand::random::<u64>();
        println!("round {round} seed {seed:x}");
        let faults = TableServiceFaults {
            lose_answers: seed % 3,
            lose_transactions: (seed >> 8) % 2,
            slow_ms: (seed >> 16) % 3,
            ..TableServiceFaults::default()
        };
        platform.table.set_faults(faults);
        let (ana, boris) =
            tokio::join!(push(&platform, "ana", round), push(&platform, "boris", round));
        let head = platform.store().read_head().await.unwrap();
        let (winner, loser) = if ana.is_ok() { (ana, boris) } else { (boris, ana) };
        assert_eq!(winner, Ok(round + 1));
        let expected = PushError::Conflict { version: round + 1, operator: head.operator };
        assert_eq!(loser, Err(expected));
    }
}

/// Guards against a read of a large body that is abandoned while its bytes still arrive, so that no
/// reader on a slow link ever gets it.
#[tokio::test]
async fn large_body_on_slow_link() {
    let platform = Platform::start().await;
    let large = Bytes::from(vec![b'x'; 100_000]);
    let client = ObjectStoreClient::new(platform.objects.address(), TIMEOUT);
    let digest = client.put(large.clone()).await.unwrap();
    let faults = ObjectStoreFaults { body_bytes_per_s: 100_000, ..ObjectStoreFaults::default() };
    platform.objects.set_faults(faults);
    assert!(client.get(&digest).await.is_ok_and(|body| body == large));
}
