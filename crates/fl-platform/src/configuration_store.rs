//! Store of configurations: immutable bodies in the object store, and a head row in the table
//! service that names the version in force.
//!
//! A push writes the body, then replaces the head row of the parent version in one conditional
//! transaction, which also adds a row for the new version. If the response is lost, the push finds
//! that row again by its nonce. See `docs/design/070-configuration.md`.

use crate::http::HttpError;
use crate::object_store::{ObjectError, ObjectStoreClient};
use crate::table::{TableClient, is_definite_failure};
use bytes::Bytes;
use displaydoc::Display;
use fl_protocol::platform::{Condition, Put, Row, Transaction};
use fl_protocol::{Configuration, ConfigurationVersion};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

const TABLE: &str = "configuration";
const HEAD_KEY: &str = "head";
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Head row: identifies the version in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Version number; versions count up from 1.
    pub version: ConfigurationVersion,
    /// SHA-256 digest of the body in hexadecimal, which is its key in the object store.
    pub digest: String,
    /// Name of the operator who pushed it.
    pub operator: String,
    /// Version that it was built on.
    pub parent_version: ConfigurationVersion,
    /// Unique id of the push; distinguishes it from another push of the same body.
    pub nonce: String,
}

/// Error of a push; except for `OutcomeUnknown` the push had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PushError {
    /// not accepted: version {version} by {operator} is in force; build on it and set [configuration] parent_version = {version}
    Conflict {
        /// Version in force.
        version: ConfigurationVersion,
        /// Name of the operator who pushed that version.
        operator: String,
    },
    /// not accepted: the platform does not answer ({0}); push again when it does
    Unavailable(String),
    /// the outcome is unknown: the platform stopped answering ({0}); check the version with filbertctl status before pushing again
    OutcomeUnknown(String),
    /// not accepted: the configuration cannot be serialized as JSON ({0}); report this as a bug
    NotSerializable(String),
}

/// Error of reading the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReadError {
    /// the table service did not answer: {0}; the last configuration stays in force
    Table(HttpError),
    /// the body of the configuration was not read: {0}
    Object(ObjectError),
    /// the head row or the body cannot be parsed: {0}; run the same release on all nodes
    Unreadable(String),
}

/// Client that reads and replaces the configuration in force.
#[derive(Debug, Clone)]
pub struct ConfigurationStore {
    table: TableClient,
    objects: ObjectStoreClient,
}

/// Outcome of one attempt to replace the head row.
enum ReplaceOutcome {
    Accepted,
    /// Another push replaced the head first.
    Conflict(ConfigurationHead),
    /// The write failed and will not take effect later.
    NoEffect(String),
    /// The write may have taken effect, or may do so later.
    Unknown(String),
}

struct HeadWithRevision {
    head: ConfigurationHead,
    revision: u64,
}

impl ConfigurationStore {
    /// Creates a client; `timeout` bounds each call to the platform.
    pub fn new(table: SocketAddr, objects: SocketAddr, timeout: Duration) -> Self {
        let table = TableClient::new(table, timeout);
        ConfigurationStore { table, objects: ObjectStoreClient::new(objects, timeout) }
    }

    /// Reads the head row; its version is 0 before the first push.
    pub async fn read_head(&self) -> Result<ConfigurationHead, ReadError> {
        Ok(self.read_head_row().await?.head)
    }

    /// Reads the body that a head row names, and checks its version.
    pub async fn read_body(&self, head: &ConfigurationHead) -> Result<Configuration, ReadError> {
        let body = self.objects.get(&head.digest).await.map_err(ReadError::Object)?;
        let configuration: Configuration =
            serde_json::from_slice(&body).map_err(unreadable_error)?;
        if configuration.version != head.version {
            let found = configuration.version;
            let text =
                format!("the body has version {found}, the head row version {}", head.version);
            return Err(ReadError::Unreadable(text));
        }
        Ok(configuration)
    }

    /// Submits a configuration; fails if its `parent_version` is no longer in force.
    ///
    /// Retries through outages and lost responses until `timeout` is over. The nonce must be new
    /// for each push.
    pub async fn push(
        &self,
        configuration: &Configuration,
        nonce: &str,
        timeout: Duration,
    ) -> Result<ConfigurationHead, PushError> {
        let deadline = Instant::now() + timeout;
        let (head, body) = prepare_push(configuration, nonce)?;
        let parent = self.read_parent(&head, deadline).await?;
        self.store_body(body, deadline).await?;
        self.replace_head(parent, head, deadline).await
    }

    async fn read_parent(
        &self,
        head: &ConfigurationHead,
        deadline: Instant,
    ) -> Result<HeadWithRevision, PushError> {
        let mut backoff = Backoff::new(deadline);
        loop {
            match self.read_head_row().await {
                Ok(known) if known.head.version == head.parent_version => return Ok(known),
                Ok(known) => return Err(conflict_error(&known.head)),
                Err(error) if backoff.is_over() => {
                    return Err(PushError::Unavailable(error.to_string()));
                }
                Err(_) => backoff.wait().await,
            }
        }
    }

    async fn store_body(&self, body: Bytes, deadline: Instant) -> Result<(), PushError> {
        let mut backoff = Backoff::new(deadline);
        loop {
            match self.objects.put(body.clone()).await {
                Ok(_) => return Ok(()),
                Err(error) if backoff.is_over() => {
                    return Err(PushError::Unavailable(error.to_string()));
                }
                Err(_) => backoff.wait().await,
            }
        }
    }

    /// Sends the conditional write until its outcome is known.
    ///
    /// Sending it again is safe, since its condition holds at most once. An unchanged head after a
    /// lost response proves nothing, since the write may still be in transit.
    async fn replace_head(
        &self,
        parent: HeadWithRevision,
        head: ConfigurationHead,
        deadline: Instant,
    ) -> Result<ConfigurationHead, PushError> {
        let transaction = head_transaction(&parent, &head)?;
        let mut backoff = Backoff::new(deadline);
        let mut may_have_effect = false;
        loop {
            match self.try_replace(&transaction, &head).await {
                ReplaceOutcome::Accepted => return Ok(head),
                ReplaceOutcome::Conflict(other) => return Err(conflict_error(&other)),
                ReplaceOutcome::NoEffect(error) if backoff.is_over() && !may_have_effect => {
                    return Err(PushError::Unavailable(error));
                }
                ReplaceOutcome::NoEffect(error) | ReplaceOutcome::Unknown(error)
                    if backoff.is_over() =>
                {
                    return Err(PushError::OutcomeUnknown(error));
                }
                ReplaceOutcome::NoEffect(_) => {}
                ReplaceOutcome::Unknown(_) => may_have_effect = true,
            }
            backoff.wait().await;
        }
    }

    async fn try_replace(
        &self,
        transaction: &Transaction,
        head: &ConfigurationHead,
    ) -> ReplaceOutcome {
        match self.table.transact(transaction).await {
            Ok(response) if response.committed => ReplaceOutcome::Accepted,
            Ok(_) => self.read_outcome(head).await,
            Err(error) if is_definite_failure(&error) => {
                ReplaceOutcome::NoEffect(error.to_string())
            }
            Err(error) => ReplaceOutcome::Unknown(error.to_string()),
        }
    }

    /// Determines who replaced the head: this push, whose first response was lost, or another one.
    async fn read_outcome(&self, head: &ConfigurationHead) -> ReplaceOutcome {
        match self.read_version_row(head.version).await {
            Ok(Some(accepted)) if accepted.nonce == head.nonce => return ReplaceOutcome::Accepted,
            Ok(_) => {}
            Err(error) => return ReplaceOutcome::Unknown(error.to_string()),
        }
        match self.read_head().await {
            Ok(other) => ReplaceOutcome::Conflict(other),
            Err(error) => ReplaceOutcome::Unknown(error.to_string()),
        }
    }

    async fn read_head_row(&self) -> Result<HeadWithRevision, ReadError> {
        let row = self.table.read(TABLE, HEAD_KEY).await;
        match row.map_err(ReadError::Table)? {
            None => Ok(HeadWithRevision { head: ConfigurationHead::default(), revision: 0 }),
            Some(row) => Ok(HeadWithRevision { head: parse_head(&row)?, revision: row.revision }),
        }
    }

    async fn read_version_row(&self, version: u64) -> Result<Option<ConfigurationHead>, ReadError> {
        let row = self.table.read(TABLE, &version_key(version)).await;
        row.map_err(ReadError::Table)?.as_ref().map(parse_head).transpose()
    }
}

/// Exponential backoff with jitter between attempts, until a deadline.
struct Backoff {
    deadline: Instant,
    delay: Duration,
}

impl Backoff {
    fn new(deadline: Instant) -> Self {
        Backoff { deadline, delay: INITIAL_BACKOFF }
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.deadline
    }

    async fn wait(&mut self) {
        let jitter = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.delay.mul_f64(jitter)).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

fn prepare_push(
    configuration: &Configuration,
    nonce: &str,
) -> Result<(ConfigurationHead, Bytes), PushError> {
    let parent_version = configuration.parent_version;
    let accepted = Configuration { version: parent_version + 1, ..configuration.clone() };
    let body = serde_json::to_vec(&accepted)
        .map_err(|error| PushError::NotSerializable(error.to_string()))?;
    let head = ConfigurationHead {
        version: accepted.version,
        digest: fl_protocol::sha256_hex(&body),
        operator: accepted.operator,
        parent_version,
        nonce: nonce.to_string(),
    };
    Ok((head, Bytes::from(body)))
}

fn head_transaction(
    parent: &HeadWithRevision,
    head: &ConfigurationHead,
) -> Result<Transaction, PushError> {
    let value = serde_json::to_string(head)
        .map_err(|error| PushError::NotSerializable(error.to_string()))?;
    let condition = Condition {
        table: TABLE.to_string(),
        key: HEAD_KEY.to_string(),
        revision: parent.revision,
    };
    let put = |key: String| Put { table: TABLE.to_string(), key, value: value.clone() };
    let puts = vec![put(HEAD_KEY.to_string()), put(version_key(head.version))];
    Ok(Transaction { conditions: vec![condition], puts })
}

/// Returns the row key of a version; the padding makes keys sort by number.
fn version_key(version: ConfigurationVersion) -> String {
    format!("version-{version:020}")
}

fn conflict_error(head: &ConfigurationHead) -> PushError {
    PushError::Conflict { version: head.version, operator: head.operator.clone() }
}

fn parse_head(row: &Row) -> Result<ConfigurationHead, ReadError> {
    serde_json::from_str(&row.value).map_err(unreadable_error)
}

fn unreadable_error(error: serde_json::Error) -> ReadError {
    ReadError::Unreadable(error.to_string())
}
