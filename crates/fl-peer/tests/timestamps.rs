//! Calls between nodes carry timestamps in both directions, so that events are ordered after their
//! causes.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use async_trait::async_trait;
use fl_kernel::services::{
    ClaimStatus, PeerNotice, PeerRequestHandler, PeerRpc, RequestHandover, TokenBatch,
};
use fl_peer::{PeerClient, PeerOptions};
use fl_protocol::event::HlcTimestamp;
use fl_protocol::platform::Vm;
use fl_protocol::{
    Configuration, Member, MemberState, OwnerEpoch, Priority, RequestId, RequestRecord,
    TokenOffset, VmName,
};
use parking_lot::Mutex;
use rstest::rstest;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::{CancellationToken, DropGuard};

const CALLER_TIMESTAMP: HlcTimestamp = HlcTimestamp { time_ms: 1_000, counter: 7 };
const CALLED_TIMESTAMP: HlcTimestamp = HlcTimestamp { time_ms: 2_000, counter: 9 };

/// Returns a fixed timestamp and records the observed ones.
struct TimestampHandler {
    own: HlcTimestamp,
    observed: Mutex<Vec<HlcTimestamp>>,
}

#[async_trait]
impl PeerRequestHandler for TimestampHandler {
    fn put_record(&self, _record: RequestRecord) {}
    fn drop_record(&self, _id: RequestId, _epoch: OwnerEpoch) {}
    fn find_record(&self, _id: RequestId) -> Option<RequestRecord> {
        None
    }
    fn hand_over(&self, _handed: RequestHandover) {}
    fn take_over(&self, _: RequestId, _: VmName, _: OwnerEpoch) -> Option<RequestHandover> {
        None
    }
    async fn read_tokens(&self, _: RequestId, _: TokenOffset, _: Duration) -> Option<TokenBatch> {
        None
    }
    fn claim_status(&self, _id: RequestId) -> Option<ClaimStatus> {
        None
    }
    fn configuration(&self, _above_version: u64) -> Option<Configuration> {
        None
    }
    fn handle_notices(&self, _notices: Vec<PeerNotice>) {}
    fn vms(&self) -> Vec<Vm> {
        Vec::new()
    }
    fn record_unauthenticated_peer(&self, _address: SocketAddr, _reason: String) {}
    fn stamp(&self) -> HlcTimestamp {
        self.own
    }
    fn observe(&self, stamp: HlcTimestamp) {
        self.observed.lock().push(stamp);
    }
}

struct PeerNode {
    handler: Arc<TimestampHandler>,
    client: PeerClient,
    member: Member,
    _stop: DropGuard,
}

fn start(own: HlcTimestamp) -> PeerNode {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(TimestampHandler { own, observed: Mutex::new(Vec::new()) });
    let options = PeerOptions { listener, key: [7; 32], bind_ip: address.ip() };
    let cancel = CancellationToken::new();
    let (client, _thread) = fl_peer::start(options, handler.clone(), cancel.clone()).unwrap();
    let member = Member {
        vm: "b1".to_string(),
        data_center: "dc-b".to_string(),
        peer_address: address,
        gossip_address: address,
        admin_address: address,
        incarnation: 1,
        state: MemberState::Alive,
    };
    PeerNode { handler, client, member, _stop: cancel.drop_guard() }
}

fn record() -> RequestRecord {
    RequestRecord {
        id: 5,
        workspace: "desk".to_string(),
        class: "plan".to_string(),
        priority: Priority::Deferrable,
        body_json: "{}".to_string(),
        fingerprint: 1,
        owner: "a1".to_string(),
        guardian: "b1".to_string(),
        epoch: 1,
        stream: None,
        restarts: Vec::new(),
        accepted_at_ms: 1,
        deadline_at_ms: 2,
    }
}

#[derive(Clone, Copy)]
enum Call {
    PutRecord,
    HandOver,
    TakeOver,
    ClaimStatus,
    Notify,
}

#[rstest]
#[case::put_record(Call::PutRecord)]
#[case::hand_over(Call::HandOver)]
#[case::take_over(Call::TakeOver)]
#[case::claim_status(Call::ClaimStatus)]
#[case::notify(Call::Notify)]
#[tokio::test]
async fn timestamps_sent_both_ways(#[case] call: Call) {
    let caller = start(CALLER_TIMESTAMP);
    let called = start(CALLED_TIMESTAMP);
    let to = &called.member;
    let client = &caller.client;
    let vm = "a1".to_string();
    let result = match call {
        Call::PutRecord => client.put_record(to, &record()).await,
        Call::HandOver => client.hand_over(to, &record(), &[]).await,
        Call::TakeOver => client.take_over(to, 5, &vm, 1).await.map(|_| ()),
        Call::ClaimStatus => client.claim_status(to, 5).await.map(|_| ()),
        Call::Notify => client.notify(to, &[PeerNotice::Leaving { vm, at_ms: 1 }]).await,
    };
    assert_eq!(result, Ok(()));
    assert_eq!(*called.handler.observed.lock(), [CALLER_TIMESTAMP]);
    assert_eq!(*caller.handler.observed.lock(), [CALLED_TIMESTAMP]);
}
