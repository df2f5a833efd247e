//! Headers of requests and responses between a node and the peer that sends its calls on.

use fl_routing::crash_suspects::SuspectKey;
use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Path of a request that asks whether the peer reaches a server.
pub(super) const PROBE_PATH: &str = "/fl-proxy/probe";

/// Name of the server that a call is for.
const SERVER: HeaderName = HeaderName::from_static("fl-proxy-server");
/// Id of the call, as in its own header on the platform.
const CALL_ID: HeaderName = HeaderName::from_static("fl-proxy-call-id");
/// What the call may have in common with calls that crashed servers.
const SUSPECTS: HeaderName = HeaderName::from_static("fl-proxy-suspects");
/// Says that there is no response of the server, and why.
const FAILURE: HeaderName = HeaderName::from_static("fl-proxy-failure");
/// Says that the server's response had neither a length nor chunks.
const UNFRAMED: HeaderName = HeaderName::from_static("fl-proxy-unframed");

const PART_PREFIX: &str = "p";
const CONTENT_PREFIX: &str = "c";

/// What a peer has to know of a call beside the request for the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ProxiedCall {
    /// Name of the server.
    pub(super) server: String,
    /// Id of the call.
    pub(super) call_id: String,
    /// What it may have in common with calls that crashed servers.
    pub(super) suspect_keys: Vec<SuspectKey>,
}

/// Why a peer has no response of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProxyFailure {
    /// The peer has lost its links too; nothing was sent.
    NoLinks,
    /// The peer does not know the server; nothing was sent.
    UnknownServer,
    /// The server asked the peer to send nothing now; nothing was sent.
    Denied,
    /// The server could not be reached; nothing was sent.
    NotReached,
    /// The connection to the server broke after the call was sent.
    Lost,
    /// The same, and the server accepts no other: it crashed.
    Crashed,
}

/// Failures with their names in the header.
const FAILURES: [(ProxyFailure, &str); 6] = [
    (ProxyFailure::NoLinks, "no_links"),
    (ProxyFailure::UnknownServer, "unknown_server"),
    (ProxyFailure::Denied, "denied"),
    (ProxyFailure::NotReached, "not_reached"),
    (ProxyFailure::Lost, "lost"),
    (ProxyFailure::Crashed, "crashed"),
];

impl ProxyFailure {
    /// Returns its name, as in headers and logs.
    pub(super) fn name(self) -> &'static str {
        let named = FAILURES.iter().find(|(failure, _)| *failure == self);
        named.map_or("", |(_, name)| name)
    }

    /// Adds it to the headers of a response.
    pub(super) fn write(self, headers: &mut HeaderMap) {
        headers.insert(FAILURE, HeaderValue::from_static(self.name()));
    }

    /// Returns the failure that a peer's response names; `None` if the response is the server's.
    /// One with an unknown name counts as [`ProxyFailure::Lost`], since the call may have run.
    pub(super) fn read(headers: &HeaderMap) -> Option<Self> {
        let named = headers.get(FAILURE)?;
        let known = FAILURES.iter().find(|(_, name)| named == name);
        Some(known.map_or(ProxyFailure::Lost, |(failure, _)| *failure))
    }
}

impl ProxiedCall {
    /// Adds it to the headers of a request; fails if a name or id is no header value.
    pub(super) fn write(&self, headers: &mut HeaderMap) -> Result<(), http::Error> {
        headers.insert(SERVER, HeaderValue::from_str(&self.server)?);
        headers.insert(CALL_ID, HeaderValue::from_str(&self.call_id)?);
        let keys: Vec<String> = self.suspect_keys.iter().map(key_text).collect();
        headers.insert(SUSPECTS, HeaderValue::from_str(&keys.join(","))?);
        Ok(())
    }

    /// Takes it out of the headers of a request; `None` if it is not there or cannot be read.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut text = |name| {
            let value = headers.remove(name)?;
            value.to_str().ok().map(str::to_string)
        };
        let (server, call_id, keys) = (text(SERVER)?, text(CALL_ID)?, text(SUSPECTS)?);
        let keys = keys.split(',').filter(|key| !key.is_empty()).map(parse_key);
        Some(ProxiedCall { server, call_id, suspect_keys: keys.collect::<Option<_>>()? })
    }
}

/// Marks a response whose end was that of the server's connection.
pub(super) fn mark_unframed(headers: &mut HeaderMap) {
    headers.insert(UNFRAMED, HeaderValue::from_static("1"));
}

/// Makes the headers of a peer's response those of the server's response.
pub(super) fn restore_headers(headers: &mut HeaderMap) {
    if headers.remove(UNFRAMED).is_some() {
        headers.remove(header::TRANSFER_ENCODING);
    }
}

fn key_text(key: &SuspectKey) -> String {
    match key {
        SuspectKey::PromptPart(id) => format!("{PART_PREFIX}{id:x}"),
        SuspectKey::Content(id) => format!("{CONTENT_PREFIX}{id:x}"),
    }
}

fn parse_key(text: &str) -> Option<SuspectKey> {
    let id = |digits| u64::from_str_radix(digits, 16).ok();
    if let Some(digits) = text.strip_prefix(PART_PREFIX) {
        return id(digits).map(SuspectKey::PromptPart);
    }
    id(text.strip_prefix(CONTENT_PREFIX)?).map(SuspectKey::Content)
}
