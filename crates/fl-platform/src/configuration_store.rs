//! Where configurations are accepted: immutable bodies in the object store and one head row in the
//! table service.
//!
//! A push writes the body, then moves the head from its parent's version in one conditional
//! transaction that also keeps a row for the version. A push whose answer was lost finds that row
//! by its nonce. See `docs/design/070-configuration.md`.

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
const FIRST_RETRY: Duration = Duration::from_millis(50);
const LONGEST_RETRY: Duration = Duration::from_millis(1000);

/// What the head row says of the version in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// The version.
    pub version: ConfigurationVersion,
    /// SHA-256 of the body in hexadecimal, its name in the object store.
    pub digest: String,
    /// Who pushed it.
    pub operator: String,
    /// The version it was built on.
    pub parent_version: ConfigurationVersion,
    /// Tells this push from every other, also from one with the same body.
    pub nonce: String,
}

/// Why a push was not accepted, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PushError {
    /// not accepted: version {version} by {operator} is in force; build on it and set [configuration] parent_version = {version}
    Conflict {
        /// The version in force.
        version: ConfigurationVersion,
        /// Who pushed it.
        operator: String,
    },
    /// not accepted: the platform does not answer ({0}); push again when it does
    Unavailable(String),
    /// the outcome is unknown: the platform stopped answering ({0}); read it with filbertctl status before you push again
    OutcomeUnknown(String),
    /// not accepted: the configuration cannot be written as JSON ({0}); report this as a fault
    NotSerializable(String),
}

/// Why the configuration in force could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReadError {
    /// the table service did not answer: {0}; the last configuration stays in force
    Table(HttpError),
    /// the body was not read: {0}
    Object(ObjectError),
    /// the head row or the body cannot be read: {0}; run the same release everywhere
    Unreadable(String),
}

/// Reads and moves the configuration in force.
#[derive(Debug, Clone)]
pub struct ConfigurationStore {
    table: TableClient,
    objects: ObjectStoreClient,
}

/// What became of one try to move the head.
enum Outcome {
    Accepted,
    Lost(ConfigurationHead),
    NoEffect(String),
    Unclear(String),
}

struct KnownHead {
    head: ConfigurationHead,
    revision: u64,
}

impl ConfigurationStore {
    /// Makes a client; `timeout` bounds each call to the platform.
    pub fn new(table: SocketAddr, objects: SocketAddr, timeout: Duration) -> Self {
        let table = TableClient::new(table, timeout);
        ConfigurationStore { table, objects: ObjectStoreClient::new(objects, timeout) }
    }

    /// Reads the head; version 0 until the first push.
    pub async fn read_head(&self) -> Result<ConfigurationHead, ReadError> {
        Ok(self.known_head().await?.head)
    }

    /// Reads the body that a head names.
    pub async fn read_body(&self, head: &ConfigurationHead) -> Result<Configuration, ReadError> {
        let body = self.objects.get(&head.digest).await.map_err(ReadError::Object)?;
        let configuration: Configuration = serde_json::from_slice(&body).map_err(unreadable)?;
        if configuration.version != head.version {
            let found = configuration.version;
            let text = format!("body of version {found} under head {}", head.version);
            return Err(ReadError::Unreadable(text));
        }
        Ok(configuration)
    }

    /// Submits a configuration built on its `parent_version`.
    ///
    /// Goes on through slowness, outages and lost answers for `patience`. The nonce must be new
    /// for each push.
    pub async fn push(
        &self,
        configuration: &Configuration,
        nonce: &str,
        patience: Duration,
    ) -> Result<ConfigurationHead, PushError> {
        let deadline = Instant::now() + patience;
        let (head, body) = prepare(configuration, nonce)?;
        let parent = self.parent(&head, deadline).await?;
        self.store_body(body, deadline).await?;
        self.move_head(parent, head, deadline).await
    }

    async fn parent(
        &self,
        head: &ConfigurationHead,
        deadline: Instant,
    ) -> Result<KnownHead, PushError> {
        let mut retry = Retry::new(deadline);
        loop {
            match self.known_head().await {
                Ok(known) if known.head.version == head.parent_version => return Ok(known),
                Ok(known) => return Err(conflict(&known.head)),
                Err(error) if retry.is_over() => {
                    return Err(PushError::Unavailable(error.to_string()));
                }
                Err(_) => retry.wait().await,
            }
        }
    }

    async fn store_body(&self, body: Bytes, deadline: Instant) -> Result<(), PushError> {
        let mut retry = Retry::new(deadline);
        loop {
            match self.objects.put(body.clone()).await {
                Ok(_) => return Ok(()),
                Err(error) if retry.is_over() => {
                    return Err(PushError::Unavailable(error.to_string()));
                }
                Err(_) => retry.wait().await,
            }
        }
    }

    /// Sends the conditional write until its outcome is known.
    ///
    /// Sending it again is safe: its condition holds at most once. An unchanged head after a lost
    /// answer proves nothing, since the write may still be on its way.
    async fn move_head(
        &self,
        parent: KnownHead,
        head: ConfigurationHead,
        deadline: Instant,
    ) -> Result<ConfigurationHead, PushError> {
        let transaction = head_transaction(&parent, &head)?;
        let mut retry = Retry::new(deadline);
        let mut may_have_effect = false;
        loop {
            match self.try_move(&transaction, &head).await {
                Outcome::Accepted => return Ok(head),
                Outcome::Lost(winner) => return Err(conflict(&winner)),
                Outcome::NoEffect(error) if retry.is_over() && !may_have_effect => {
                    return Err(PushError::Unavailable(error));
                }
                Outcome::NoEffect(error) | Outcome::Unclear(error) if retry.is_over() => {
                    return Err(PushError::OutcomeUnknown(error));
                }
                Outcome::NoEffect(_) => {}
                Outcome::Unclear(_) => may_have_effect = true,
            }
            retry.wait().await;
        }
    }

    async fn try_move(&self, transaction: &Transaction, head: &ConfigurationHead) -> Outcome {
        match self.table.transact(transaction).await {
            Ok(answer) if answer.committed => Outcome::Accepted,
            Ok(_) => self.read_back(head).await,
            Err(error) if is_definite_failure(&error) => Outcome::NoEffect(error.to_string()),
            Err(error) => Outcome::Unclear(error.to_string()),
        }
    }

    /// Finds out who moved the head: this push, whose first answer was lost, or another.
    async fn read_back(&self, head: &ConfigurationHead) -> Outcome {
        match self.version_row(head.version).await {
            Ok(Some(accepted)) if accepted.nonce == head.nonce => return Outcome::Accepted,
            Ok(_) => {}
            Err(error) => return Outcome::Unclear(error.to_string()),
        }
        match self.read_head().await {
            Ok(winner) => Outcome::Lost(winner),
            Err(error) => Outcome::Unclear(error.to_string()),
        }
    }

    async fn known_head(&self) -> Result<KnownHead, ReadError> {
        let row = self.table.read(TABLE, HEAD_KEY).await;
        match row.map_err(ReadError::Table)? {
            None => Ok(KnownHead { head: ConfigurationHead::default(), revision: 0 }),
            Some(row) => Ok(KnownHead { head: parse_head(&row)?, revision: row.revision }),
        }
    }

    async fn version_row(&self, version: u64) -> Result<Option<ConfigurationHead>, ReadError> {
        let row = self.table.read(TABLE, &version_key(version)).await;
        row.map_err(ReadError::Table)?.as_ref().map(parse_head).transpose()
    }
}

/// Waits between tries, longer each time, until a deadline.
struct Retry {
    deadline: Instant,
    pause: Duration,
}

impl Retry {
    fn new(deadline: Instant) -> Self {
        Retry { deadline, pause: FIRST_RETRY }
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.deadline
    }

    async fn wait(&mut self) {
        let jitter = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_RETRY);
    }
}

fn prepare(
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
    parent: &KnownHead,
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

/// Keys of versions sort in the order of their numbers.
fn version_key(version: ConfigurationVersion) -> String {
    format!("version-{version:020}")
}

fn conflict(head: &ConfigurationHead) -> PushError {
    PushError::Conflict { version: head.version, operator: head.operator.clone() }
}

fn parse_head(row: &Row) -> Result<ConfigurationHead, ReadError> {
    serde_json::from_str(&row.value).map_err(unreadable)
}

fn unreadable(error: serde_json::Error) -> ReadError {
    ReadError::Unreadable(error.to_string())
}
