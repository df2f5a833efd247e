//! Reads a response for a caller from the node that owns the request, across changes of the owner.

use super::locate::{self, RequestLocation};
use super::{ModelRequests, OwnedRequest, ServiceHandles};
use fl_kernel::services::ResponseProgress;
use fl_protocol::{Member, OwnerEpoch, Problem, RequestId, RequestRecord, TokenOffset};
use std::sync::Arc;
use std::time::Duration;

/// How long one read waits before the caller is sent a keep-alive comment.
const READ_WAIT: Duration = Duration::from_secs(5);
const MAX_LOCATE_ATTEMPTS: u32 = 20;
const LOCATE_INTERVAL: Duration = Duration::from_millis(250);

/// The next step of reading a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadStep {
    /// New tokens.
    Tokens {
        /// The offset of the first token.
        first_offset: TokenOffset,
        /// The epoch with which the ids of their events are marked.
        text_epoch: OwnerEpoch,
        /// The texts of the tokens.
        tokens: Vec<String>,
    },
    /// The text was regenerated: the caller has to drop what it holds, and tokens from offset 0
    /// follow.
    Restart,
    /// There is nothing new yet.
    Idle,
    /// The response is complete.
    Complete,
    /// The request failed, with this problem body in JSON.
    Failed(String),
    /// This node is shutting down and has handed the request over; the caller has to reconnect.
    Moved,
}

enum Source {
    Local(Arc<OwnedRequest>),
    Remote(Box<Member>),
}

/// Reads one response for one caller.
pub struct ResponseReader {
    requests: Arc<ModelRequests>,
    services: Arc<ServiceHandles>,
    id: RequestId,
    source: Source,
    record: RequestRecord,
    position: TokenOffset,
    text_epoch: OwnerEpoch,
    progress: ResponseProgress,
}

impl ResponseReader {
    /// Creates a reader of a request that this node owns.
    ///
    /// The caller holds the text of `text_epoch` before `position`.
    pub fn local(
        requests: Arc<ModelRequests>,
        services: Arc<ServiceHandles>,
        request: Arc<OwnedRequest>,
        position: TokenOffset,
        text_epoch: OwnerEpoch,
    ) -> Self {
        request.attach_reader();
        ResponseReader {
            requests,
            services,
            id: request.id,
            record: request.record(),
            source: Source::Local(request),
            position,
            text_epoch,
            progress: ResponseProgress::Running,
        }
    }

    /// Locates a request and creates a reader of it; `None` if no node knows the request.
    ///
    /// The caller holds the text of `text_epoch` before `position`.
    pub async fn find(
        requests: Arc<ModelRequests>,
        services: Arc<ServiceHandles>,
        id: RequestId,
        position: TokenOffset,
        text_epoch: OwnerEpoch,
    ) -> Option<Self> {
        match locate::find(&requests, &services, id).await? {
            RequestLocation::Local(request) => {
                Some(Self::local(requests, services, request, position, text_epoch))
            }
            RequestLocation::Remote(member, record) => Some(ResponseReader {
                requests,
                services,
                id,
                source: Source::Remote(member),
                record: *record,
                position,
                text_epoch,
                progress: ResponseProgress::Running,
            }),
        }
    }

    /// Returns the record as it was when the request was last located.
    pub fn record(&self) -> &RequestRecord {
        &self.record
    }

    /// Returns the request if this node owns it.
    pub fn owned(&self) -> Option<Arc<OwnedRequest>> {
        match &self.source {
            Source::Local(request) => Some(request.clone()),
            Source::Remote(_) => None,
        }
    }

    /// Takes the request over from another owner, for a caller that wants to cancel it.
    pub async fn take_over(self) -> Option<Self> {
        let request =
            locate::take_from_guardian(&self.requests, &self.services, &self.record).await?;
        let (requests, services) = (self.requests.clone(), self.services.clone());
        Some(Self::local(requests, services, request, self.position, self.text_epoch))
    }

    /// Waits for the next step; returns the final step again once the response has ended.
    pub async fn next(&mut self) -> ReadStep {
        loop {
            if let Some(step) = self.final_step() {
                return step;
            }
            if self.record.must_restart(self.text_epoch, self.position) {
                self.position = 0;
                self.text_epoch = self.record.text_epoch();
                return ReadStep::Restart;
            }
            self.text_epoch = self.record.text_epoch();
            match self.read().await {
                Some(step) => return step,
                None => {
                    if !self.locate_again().await {
                        let problem = Problem::UnknownRequest(String::new());
                        return ReadStep::Failed(super::to_json(&problem.body(Some(self.id))));
                    }
                }
            }
        }
    }

    fn final_step(&self) -> Option<ReadStep> {
        match &self.progress {
            ResponseProgress::Running => None,
            ResponseProgress::Complete => Some(ReadStep::Complete),
            ResponseProgress::Failed(problem_json) => Some(ReadStep::Failed(problem_json.clone())),
            ResponseProgress::Moved => Some(ReadStep::Moved),
        }
    }

    /// Reads once; `None` if the remote owner is lost or has moved the request.
    async fn read(&mut self) -> Option<ReadStep> {
        let (tokens, progress) = match &self.source {
            Source::Local(request) => {
                let chunk = request.read_or_wait(self.position, READ_WAIT).await;
                if chunk.text_epoch != self.text_epoch {
                    self.record = request.record();
                    return Some(ReadStep::Idle);
                }
                (chunk.tokens, chunk.progress)
            }
            Source::Remote(member) => {
                let reading =
                    self.services.peers.read_tokens(member, self.id, self.position, READ_WAIT);
                let batch = reading.await.ok().flatten()?;
                if batch.state == ResponseProgress::Moved {
                    return None;
                }
                (batch.tokens, batch.state)
            }
        };
        self.progress = progress;
        if tokens.is_empty() {
            return Some(self.final_step().unwrap_or(ReadStep::Idle));
        }
        let first_offset = self.position;
        self.position += tokens.len() as TokenOffset;
        Some(ReadStep::Tokens { first_offset, text_epoch: self.text_epoch, tokens })
    }

    async fn locate_again(&mut self) -> bool {
        for _ in 0..MAX_LOCATE_ATTEMPTS {
            match locate::find(&self.requests, &self.services, self.id).await {
                Some(RequestLocation::Local(request)) => {
                    request.attach_reader();
                    self.record = request.record();
                    self.source = Source::Local(request);
                    return true;
                }
                Some(RequestLocation::Remote(member, record)) => {
                    self.record = *record;
                    self.source = Source::Remote(member);
                    return true;
                }
                None => tokio::time::sleep(LOCATE_INTERVAL).await,
            }
        }
        false
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        if let Source::Local(request) = &self.source {
            request.detach_reader();
        }
    }
}
