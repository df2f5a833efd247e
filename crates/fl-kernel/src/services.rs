//! Interfaces of the services of a node.
//!
//! The implementations are in `fl-node`. The decisions that they make are pure functions in
//! packages of their own.

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

/// Source of the configuration in force at this node; its version never decreases.
pub trait ConfigurationSource: Send + Sync {
    /// Returns the configuration in force; its version is 0 until one was received.
    fn current(&self) -> Arc<Configuration>;
    /// Returns a receiver that is notified of each new configuration.
    fn subscribe(&self) -> watch::Receiver<Arc<Configuration>>;
    /// Puts a configuration in force if its version is greater than the current one, and returns
    /// whether it did.
    fn apply_if_newer(&self, configuration: Configuration) -> bool;
}

/// Nodes of the fleet as this node observes them.
pub trait Membership: Send + Sync {
    /// Returns this node.
    fn self_member(&self) -> Member;
    /// Returns all known nodes, including this one, sorted by VM name.
    fn members(&self) -> Vec<Member>;
    /// Returns a receiver that is notified of each change.
    fn subscribe(&self) -> watch::Receiver<u64>;
    /// Informs the peers that this node is leaving and accepts no new work.
    fn leave(&self);
}

/// Backend server as this node observes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Entry of the VM list.
    pub vm: Vm,
    /// Last load report; only model engines send one.
    pub load: Option<LoadReport>,
    /// Time at which the VM is reclaimed, if any source has announced it.
    pub leaving_at_ms: Option<UnixMs>,
    /// Whether it responded recently.
    pub healthy: bool,
}

/// Backend servers, with their health and load, as this node observes them.
pub trait Directory: Send + Sync {
    /// Returns the backend servers of one kind, sorted by VM name.
    fn backends(&self, kind: VmKind) -> Vec<Backend>;
    /// Returns the time at which a VM of any kind is reclaimed, if any source has announced it.
    fn leaving_at_ms(&self, vm: &VmName) -> Option<UnixMs>;
    /// Records that a VM is leaving; a VM list that lags behind never reverts this.
    fn mark_leaving(&self, vm: &VmName, leaving_at_ms: UnixMs);
    /// Records whether a contact with a VM succeeded.
    fn mark_contact(&self, vm: &VmName, ok: bool);
    /// Records that this node serves a model call and therefore needs fresh load reports.
    fn record_model_call(&self);
    /// Returns whether this node served a model call recently.
    fn serves_model_calls(&self) -> bool;
    /// Returns a receiver that is notified of each change.
    fn subscribe(&self) -> watch::Receiver<u64>;
}

/// Request for which the router chooses a runner.
#[derive(Debug, Clone)]
pub struct RoutingQuery {
    /// Id of the request.
    pub id: RequestId,
    /// Model, as `model` or `model:adapter`.
    pub model: String,
    /// Class of the call.
    pub class: CallClass,
    /// Chained hashes of the prompt's full blocks; see [`fl_protocol::engine::hash_prompt_blocks`].
    pub blocks: Vec<BlockHash>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens in the response.
    pub max_tokens: u64,
    /// Runners that must not be chosen, sorted: those already tried, and those that a suspect
    /// content must not share with other suspects.
    pub excluded: Vec<VmName>,
    /// Whether the runner must have no other requests, since the content of this one is suspect.
    pub exclusive: bool,
}

/// Runner that the router chose.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingDecision {
    /// VM name of the runner.
    pub runner: VmName,
    /// Address of its engine, as `ip:port`.
    pub address: String,
    /// Prompt tokens that it is expected to compute, since they are not in its prefix cache.
    pub expected_prefill_tokens: u64,
    /// Expected time until the first token.
    pub expected_first_token: Duration,
}

/// Chooses the runner of each model request.
pub trait Router: Send + Sync {
    /// Chooses a runner and counts the request as in flight there until [`Router::record_end`].
    fn choose(&self, query: &RoutingQuery) -> Result<RoutingDecision, Problem>;
    /// Records that the first token of a request arrived after `waited`.
    fn record_first_token(&self, id: RequestId, waited: Duration);
    /// Records that the attempt at a runner ended, with or without success.
    fn record_end(&self, id: RequestId, runner: &VmName);
}

/// Permit of an admitted call; dropping it releases the call's share of the concurrency limit.
pub trait Permit: Send + Sync {
    /// Charges tokens to the workspace as they are produced.
    fn charge(&self, tokens: u64);
}

/// Admission control for calls.
#[async_trait]
pub trait Admission: Send + Sync {
    /// Waits until the call may run.
    ///
    /// Refuses the call at once if it cannot meet its deadline or exceeds a limit of its workspace.
    async fn admit(
        &self,
        workspace: &WorkspaceName,
        class: &CallClass,
        prompt_tokens: u64,
        max_tokens: u64,
    ) -> Result<Box<dyn Permit>, Problem>;
    /// Takes one retry from the retry budget of a backend; returns false if the budget is
    /// exhausted.
    fn take_retry(&self, backend: &str) -> bool;
    /// Counts a first attempt, which adds a share of a retry to the retry budget of the backend.
    fn count_first_attempt(&self, backend: &str);
}

/// Runs calls of plain services; a call that is not idempotent runs at most once.
#[async_trait]
pub trait Ledger: Send + Sync {
    /// Runs a call, or returns the recorded response if it already ran.
    async fn call(&self, call: ServiceCall) -> Result<ServiceResponse, Problem>;
    /// Returns the status of one of this node's claims; `None` if this process did not make the
    /// claim or has forgotten it.
    fn claim_status(&self, nonce: ClaimNonce) -> Option<ClaimStatus>;
}

/// Status of a claim, as its owner reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The owner will not dispatch the call any more.
    Released,
    /// The call is claimed or dispatched and has no outcome yet.
    Running,
    /// The outcome of the call is being recorded or was recorded.
    Ended,
}

/// Quarantine status of a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ContentStatus {
    /// The content may run anywhere.
    Clear,
    /// The content was in flight on a server that died, so it runs on a runner without other
    /// requests.
    Suspect,
    /// Two servers died while the content was in flight, so it is not run again.
    Quarantined,
}

/// Quarantine for request contents that appear to crash servers.
///
/// Tracks the contents that were in flight when a server died without notice.
pub trait Quarantine: Send + Sync {
    /// Returns the status of a content.
    fn status(&self, fingerprint: Fingerprint) -> ContentStatus;
    /// Returns whether a request may run its content now; requests with the same suspect content
    /// run one at a time.
    fn may_run(&self, _fingerprint: Fingerprint, _id: RequestId) -> bool {
        true
    }
    /// Records that a suspect content runs on a runner, which other suspect contents must not use.
    fn record_run(&self, _fingerprint: Fingerprint, _runner: &VmName) {}
    /// Returns the runners that a suspect content must not use now, since other suspects may run
    /// there.
    fn excluded_runners(&self, _fingerprint: Fingerprint) -> Vec<VmName> {
        Vec::new()
    }
    /// Records that a server died without notice while these contents were in flight.
    fn record_server_death(&self, server: &VmName, in_flight: &[Fingerprint]);
    /// Records that a content ran to its end, which clears a suspect.
    fn record_success(&self, fingerprint: Fingerprint);
    /// Applies the status that a peer reported.
    fn apply_peer_status(&self, fingerprint: Fingerprint, status: ContentStatus);
}

/// Calls from this node to its peers over capnp-rpc; an error means that the transport failed.
#[async_trait]
pub trait PeerRpc: Send + Sync {
    /// Stores a replica of a request record at the peer, which becomes the guardian of the request.
    async fn put_record(&self, to: &Member, record: &RequestRecord) -> Result<(), PeerError>;
    /// Drops the replica unless it belongs to a later owner than that of `epoch`.
    async fn drop_record(
        &self,
        to: &Member,
        id: RequestId,
        epoch: OwnerEpoch,
    ) -> Result<(), PeerError>;
    /// Returns the peer's record of a request, if it has one.
    async fn find_record(
        &self,
        to: &Member,
        id: RequestId,
    ) -> Result<Option<RequestRecord>, PeerError>;
    /// Sends the record and the tokens so far to the peer.
    ///
    /// The peer becomes the owner if the record names it as such, and a guardian otherwise.
    async fn hand_over(
        &self,
        to: &Member,
        record: &RequestRecord,
        tokens: &[String],
    ) -> Result<(), PeerError>;
    /// Takes over a request from its guardian and returns the record under the new owner, with the
    /// tokens that the guardian has.
    ///
    /// Returns `None` if the epoch of the guardian's record is no longer `seen_epoch`, since
    /// another node took the request over first.
    async fn take_over(
        &self,
        from: &Member,
        id: RequestId,
        new_owner: &VmName,
        seen_epoch: OwnerEpoch,
    ) -> Result<Option<RequestHandover>, PeerError>;
    /// Reads the tokens of a request from its owner, starting at `offset`; waits up to `wait` for
    /// the first one.
    async fn read_tokens(
        &self,
        from: &Member,
        id: RequestId,
        offset: TokenOffset,
        wait: Duration,
    ) -> Result<Option<TokenBatch>, PeerError>;
    /// Returns the status of a claim from its owner; see [`Ledger::claim_status`].
    async fn claim_status(
        &self,
        to: &Member,
        nonce: ClaimNonce,
    ) -> Result<Option<ClaimStatus>, PeerError>;
    /// Returns the configuration in force at the peer if its version is above `above_version`.
    async fn fetch_configuration(
        &self,
        from: &Member,
        above_version: u64,
    ) -> Result<Option<Configuration>, PeerError>;
    /// Sends notices of leaving VMs and of quarantined contents.
    async fn notify(&self, to: &Member, notices: &[PeerNotice]) -> Result<(), PeerError>;
    /// Returns the peer's list of VMs, for a node that starts during an outage of the platform.
    async fn fetch_vms(&self, from: &Member) -> Result<Vec<Vm>, PeerError>;
    /// Stores events of this node's time line at the peer, since this node is leaving.
    async fn keep_events(&self, to: &Member, events: &[Event]) -> Result<(), PeerError>;
}

/// Reason why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PeerError {
    /// peer {0} cannot be reached; check its address and the network between the data centres
    Unreachable(String),
    /// peer {0} did not prove the fleet key; give all nodes the same [fleet] key_file
    Unauthenticated(String),
    /// peer {0} did not answer in time; it may be paused or unreachable
    TimedOut(String),
    /// peer {0} answered with an error: {1}
    Failed(String, String),
}

/// Request that is handed over to a new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHandover {
    /// Record of the request, with the new owner.
    pub record: RequestRecord,
    /// Tokens generated so far, from offset 0.
    pub tokens: Vec<String>,
}

/// Tokens that were read from the owner of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TokenBatch {
    /// Tokens from the requested offset on.
    pub tokens: Vec<String>,
    /// State of the response after these tokens.
    pub state: ResponseProgress,
}

/// State of a response that is being generated.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ResponseProgress {
    /// More tokens will follow.
    #[default]
    Running,
    /// The response is complete.
    Complete,
    /// The response failed; holds the problem body as JSON.
    Failed(String),
    /// Another node owns the request now.
    Moved,
}

/// Notice that nodes send to each other without waiting for a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerNotice {
    /// A VM is leaving.
    Leaving {
        /// Name of the VM.
        vm: VmName,
        /// Time at which it is reclaimed.
        at_ms: UnixMs,
    },
    /// The status of a content changed to suspect or quarantined.
    Judged {
        /// Fingerprint of the content.
        fingerprint: Fingerprint,
        /// Whether the content is quarantined; it is suspect otherwise.
        quarantined: bool,
    },
}

/// Handler for the calls that peers make to this node; see [`PeerRpc`].
#[async_trait]
pub trait PeerRequestHandler: Send + Sync {
    /// See [`PeerRpc::put_record`].
    fn put_record(&self, record: RequestRecord);
    /// See [`PeerRpc::drop_record`].
    fn drop_record(&self, id: RequestId, epoch: OwnerEpoch);
    /// See [`PeerRpc::find_record`].
    fn find_record(&self, id: RequestId) -> Option<RequestRecord>;
    /// See [`PeerRpc::hand_over`].
    fn hand_over(&self, handed: RequestHandover);
    /// See [`PeerRpc::take_over`].
    fn take_over(
        &self,
        id: RequestId,
        new_owner: VmName,
        seen_epoch: OwnerEpoch,
    ) -> Option<RequestHandover>;
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
    /// Records that a connection was refused since it did not prove the fleet key.
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

/// Log of events for the time line.
pub trait EventLog: Send + Sync {
    /// Records an event, which may concern a request.
    fn record(&self, event: EventKind, request: Option<RequestId>, detail: String);
    /// Returns a timestamp for a message to a peer; a log without a clock returns the least one.
    fn stamp(&self) -> HlcTimestamp {
        HlcTimestamp::default()
    }
    /// Advances the clock past the timestamp of a peer's message, so that later events of this node
    /// are ordered after it.
    fn observe(&self, _stamp: HlcTimestamp) {}
    /// Stores events of a node that is leaving.
    fn store_events(&self, _events: Vec<Event>) {}
}

/// Returns the id of the engine stream for one attempt of a request, as
/// `{request}-{epoch}-{attempt}`.
pub fn stream_id(id: RequestId, epoch: u32, attempt: AttemptNumber) -> String {
    format!("{}-{epoch}-{attempt}", fl_protocol::format_request_id(id))
}
