//! The interfaces by which the services of a node meet.
//!
//! Implementations stand in `fl-node`; the decisions behind them are pure and stand in packages of
//! their own.

use async_trait::async_trait;
use fl_protocol::call::{ServiceCall, ServiceResponse};
use fl_protocol::engine::LoadReport;
use fl_protocol::event::{Event, EventKind, HlcTimestamp};
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{
    AttemptNumber, BlockHash, CallClass, ClaimNonce, Configuration, Fingerprint, Member,
    OwnerEpoch, Problem, RequestId, RequestRecord, TokenOffset, UnixMs, VmName, WorkspaceName,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Gives the configuration in force here; the version never goes down.
pub trait ConfigurationSource: Send + Sync {
    /// The configuration now; version 0 until one was learned.
    fn current(&self) -> Arc<Configuration>;
    /// Wakes on each change.
    fn subscribe(&self) -> watch::Receiver<Arc<Configuration>>;
    /// Takes a body that a peer or an operator brought; keeps it only if its version is higher.
    fn offer(&self, configuration: Configuration) -> bool;
}

/// Knows the nodes.
pub trait Membership: Send + Sync {
    /// This node.
    fn self_member(&self) -> Member;
    /// All nodes known, this one included, sorted by VM name.
    fn members(&self) -> Vec<Member>;
    /// Wakes on each change.
    fn subscribe(&self) -> watch::Receiver<u64>;
    /// Tells the peers that this node is leaving and takes no new work.
    fn leave(&self);
}

/// A backend server as this node knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// What the VM list says.
    pub vm: Vm,
    /// The last load report; engines only.
    pub load: Option<LoadReport>,
    /// When it goes away, from whichever source said so first.
    pub leaving_at_ms: Option<UnixMs>,
    /// Whether it answered lately.
    pub healthy: bool,
}

/// Knows the backend servers.
pub trait Directory: Send + Sync {
    /// The backend servers of one kind, sorted by VM name.
    fn backends(&self, kind: VmKind) -> Vec<Backend>;
    /// When a VM of any kind goes away, if any source said so.
    fn leaving_at_ms(&self, vm: &VmName) -> Option<UnixMs>;
    /// Takes word that a VM is leaving; a lagging list never takes that back.
    fn mark_leaving(&self, vm: &VmName, leaving_at_ms: UnixMs);
    /// Takes word of a failed or succeeded contact with a VM.
    fn mark_contact(&self, vm: &VmName, ok: bool);
    /// Takes word that this node serves model calls, so that it needs fresh reports.
    fn record_model_call(&self);
    /// Says whether this node served a model call lately.
    fn serves_model_calls(&self) -> bool;
    /// Wakes on each change.
    fn subscribe(&self) -> watch::Receiver<u64>;
}

/// What the router is asked.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// The request.
    pub id: RequestId,
    /// The model, as `model` or `model:adapter`.
    pub model: String,
    /// The class of the call.
    pub class: CallClass,
    /// The chained hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at most.
    pub max_tokens: u64,
    /// Runners that must not be chosen, sorted: tried already, or apart from a suspect.
    pub excluded: Vec<VmName>,
    /// Whether the runner must be free of other requests, since this one is a suspect.
    pub alone: bool,
}

/// What the router answers.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The runner.
    pub runner: VmName,
    /// Its engine's address, `ip:port`.
    pub address: String,
    /// Prompt tokens it is expected to compute.
    pub expected_prefill_tokens: u64,
    /// Expected time to the first token.
    pub expected_first_token: Duration,
}

/// Chooses runners.
pub trait Router: Send + Sync {
    /// Chooses a runner and counts the request as sent there until [`Router::record_end`].
    fn choose(&self, query: &RouteQuery) -> Result<Route, Problem>;
    /// Takes word that the first token arrived.
    fn record_first_token(&self, id: RequestId, waited: Duration);
    /// Takes word that the attempt ended.
    fn record_end(&self, id: RequestId, runner: &VmName);
}

/// A place in the queue of a workspace; dropping it gives the place back.
pub trait Permit: Send + Sync {
    /// Charges tokens as they are produced.
    fn charge(&self, tokens: u64);
}

/// Admits calls.
#[async_trait]
pub trait Admission: Send + Sync {
    /// Waits for the call's turn, or refuses at once what cannot meet its deadline or its limit.
    async fn admit(
        &self,
        workspace: &WorkspaceName,
        class: &CallClass,
        prompt_tokens: u64,
        max_tokens: u64,
    ) -> Result<Box<dyn Permit>, Problem>;
    /// Takes one retry out of the budget of a back end; false when it is spent.
    fn take_retry(&self, back_end: &str) -> bool;
    /// Counts a first try, which earns the budget its share.
    fn count_first_attempt(&self, back_end: &str);
}

/// Runs calls of plain services; those that may not be repeated at most once.
#[async_trait]
pub trait Ledger: Send + Sync {
    /// Runs a call or gives its recorded answer.
    async fn call(&self, call: ServiceCall) -> Result<ServiceResponse, Problem>;
    /// Answers a peer that found a claim of this node; `None`: not of this life, or long ended.
    fn claim_status(&self, nonce: ClaimNonce) -> Option<ClaimStatus>;
}

/// What the owner of a claim says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It can no longer be dispatched by this owner.
    Released,
    /// It is claimed or dispatched and has no outcome yet.
    Running,
    /// Its outcome is being or was recorded.
    Ended,
}

/// What is known of a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ContentStatus {
    /// Nothing against it.
    Clear,
    /// It was in flight on a server that died; it runs apart from others.
    Suspect,
    /// Two servers died with it; it is not run again.
    Quarantined,
}

/// Judges requests that were in flight when a server died without notice.
pub trait Quarantine: Send + Sync {
    /// What is known of a content.
    fn status(&self, fingerprint: Fingerprint) -> ContentStatus;
    /// Says whether a request may run its content now; requests with one suspect content run one
    /// after the other.
    fn may_run(&self, _fingerprint: Fingerprint, _id: RequestId) -> bool {
        true
    }
    /// Takes word that a suspect content runs at a runner, from which other suspects keep away.
    fn record_run(&self, _fingerprint: Fingerprint, _runner: &VmName) {}
    /// The runners on which a suspect content must not run now, since other suspects may.
    fn excluded_runners(&self, _fingerprint: Fingerprint) -> Vec<VmName> {
        Vec::new()
    }
    /// Takes word that a server died without notice with these contents in flight.
    fn record_server_death(&self, server: &VmName, in_flight: &[Fingerprint]);
    /// Takes word that a suspect ended well, which clears it.
    fn record_success(&self, fingerprint: Fingerprint);
    /// Applies the status that a peer reported.
    fn apply_peer_status(&self, fingerprint: Fingerprint, status: ContentStatus);
}

/// What a node asks of its peers over capnp-rpc; errors are transport failures.
#[async_trait]
pub trait PeerRpc: Send + Sync {
    /// Keeps a copy of a record at the peer.
    async fn put_record(&self, to: &Member, record: &RequestRecord) -> Result<(), PeerError>;
    /// Drops the copy, unless it belongs to a later owner than `epoch`.
    async fn drop_record(
        &self,
        to: &Member,
        id: RequestId,
        epoch: OwnerEpoch,
    ) -> Result<(), PeerError>;
    /// Asks for the record of a request.
    async fn find_record(
        &self,
        to: &Member,
        id: RequestId,
    ) -> Result<Option<RequestRecord>, PeerError>;
    /// Gives the peer the record with the text so far; the record's owner says who carries it on.
    async fn hand_over(
        &self,
        to: &Member,
        record: &RequestRecord,
        tokens: &[String],
    ) -> Result<(), PeerError>;
    /// Takes a request over from a guardian: its record under the new owner and the text it has.
    ///
    /// `None` when the guardian's record has left `seen_epoch`, since another node was first.
    async fn take_over(
        &self,
        from: &Member,
        id: RequestId,
        new_owner: &VmName,
        seen_epoch: OwnerEpoch,
    ) -> Result<Option<HandedRequest>, PeerError>;
    /// Reads tokens of a request from its owner, waiting up to `wait` for the first.
    async fn read_tokens(
        &self,
        from: &Member,
        id: RequestId,
        offset: TokenOffset,
        wait: Duration,
    ) -> Result<Option<TokenBatch>, PeerError>;
    /// Asks the owner of a claim about it.
    async fn claim_status(
        &self,
        to: &Member,
        nonce: ClaimNonce,
    ) -> Result<Option<ClaimStatus>, PeerError>;
    /// Asks for the configuration in force at the peer if its version is above `above_version`.
    async fn fetch_configuration(
        &self,
        from: &Member,
        above_version: u64,
    ) -> Result<Option<Configuration>, PeerError>;
    /// Sends small news: leaving VMs and quarantine statuses.
    async fn notify(&self, to: &Member, notices: &[PeerNotice]) -> Result<(), PeerError>;
    /// Asks for the peer's list of VMs, for a node that starts while the platform is out.
    async fn fetch_vms(&self, from: &Member) -> Result<Vec<Vm>, PeerError>;
    /// Gives events of the time line to a peer, for a node that goes away.
    async fn keep_events(&self, to: &Member, events: &[Event]) -> Result<(), PeerError>;
}

/// Why a peer did not answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PeerError {
    /// peer {0} cannot be reached; check its address and the network between the data centres
    Unreachable(String),
    /// peer {0} did not prove the fleet key; give all nodes the same [fleet] key_file
    NotTrusted(String),
    /// peer {0} did not answer in time; it may be paused or cut off
    TimedOut(String),
    /// peer {0} answered with an error: {1}
    Failed(String, String),
}

/// A request on its way to a new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandedRequest {
    /// Its record, naming the new owner.
    pub record: RequestRecord,
    /// The text so far, token by token, from offset 0.
    pub tokens: Vec<String>,
}

/// Tokens read from an owner.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TokenBatch {
    /// The tokens from the asked offset on.
    pub tokens: Vec<String>,
    /// How the request stands after them.
    pub state: TokenState,
}

/// How an answer stands.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum TokenState {
    /// More will come.
    #[default]
    Running,
    /// The answer is whole.
    Whole,
    /// The answer will not come; the text of the problem body in JSON.
    Failed(String),
    /// Another node carries it now.
    Moved,
}

/// Small news among nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerNotice {
    /// A VM is leaving.
    Leaving {
        /// The VM.
        vm: VmName,
        /// When it goes away.
        at_ms: UnixMs,
    },
    /// A content is suspect or quarantined.
    Judged {
        /// The content.
        fingerprint: Fingerprint,
        /// Whether it is quarantined; suspect otherwise.
        quarantined: bool,
    },
}

/// What a peer asks of this node; implemented by the services that keep the state.
#[async_trait]
pub trait PeerRequestHandler: Send + Sync {
    /// See [`PeerRpc::put_record`].
    fn put_record(&self, record: RequestRecord);
    /// See [`PeerRpc::drop_record`].
    fn drop_record(&self, id: RequestId, epoch: OwnerEpoch);
    /// See [`PeerRpc::find_record`].
    fn find_record(&self, id: RequestId) -> Option<RequestRecord>;
    /// See [`PeerRpc::hand_over`].
    fn hand_over(&self, handed: HandedRequest);
    /// See [`PeerRpc::take_over`].
    fn take_over(
        &self,
        id: RequestId,
        new_owner: VmName,
        seen_epoch: OwnerEpoch,
    ) -> Option<HandedRequest>;
    /// See [`PeerRpc::read_tokens`].
    async fn read_tokens(
        &self,
        id: RequestId,
        offset: TokenOffset,
        wait: Duration,
    ) -> Option<TokenBatch>;
    /// See [`PeerRpc::claim_status`].
    fn claim_status(&self, nonce: ClaimNonce) -> Option<ClaimStatus>;
    /// See [`PeerRpc::fetch_configuration`].
    fn configuration(&self, above_version: u64) -> Option<Configuration>;
    /// See [`PeerRpc::notify`].
    fn handle_notices(&self, notices: Vec<PeerNotice>);
    /// See [`PeerRpc::fetch_vms`].
    fn vms(&self) -> Vec<Vm>;
    /// Takes word that a connection did not prove the fleet key.
    fn record_unauthenticated_peer(&self, address: std::net::SocketAddr, reason: String);
    /// See [`EventLog::stamp`].
    fn stamp(&self) -> HlcTimestamp {
        HlcTimestamp::default()
    }
    /// See [`EventLog::observe`].
    fn observe(&self, _stamp: HlcTimestamp) {}
    /// See [`PeerRpc::keep_events`].
    fn keep_events(&self, _events: Vec<Event>) {}
}

/// Takes events for the time line.
pub trait EventLog: Send + Sync {
    /// Records an event.
    fn record(&self, event: EventKind, request: Option<RequestId>, detail: String);
    /// Gives a stamp for a message to a peer; a log without a clock gives the least one.
    fn stamp(&self) -> HlcTimestamp {
        HlcTimestamp::default()
    }
    /// Takes the stamp of a peer's message, so that later events here are stamped after it.
    fn observe(&self, _stamp: HlcTimestamp) {}
    /// Keeps events of a node that goes away.
    fn keep(&self, _events: Vec<Event>) {}
}

/// Names an attempt, for logs and stream ids.
pub fn stream_id(id: RequestId, epoch: u32, attempt: AttemptNumber) -> String {
    format!("{}-{epoch}-{attempt}", fl_protocol::format_request_id(id))
}
