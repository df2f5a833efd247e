//! Authentication of callers by workspace and key.

use super::{CallerApi, malformed_request};
use fl_protocol::chat::{CLASS_HEADER, WORKSPACE_HEADER};
use fl_protocol::{CallClass, Configuration, Problem, Workspace, sha256_hex};
use http::{HeaderMap, header};
use std::sync::Arc;
use subtle::ConstantTimeEq as _;

/// An authenticated caller, with the configuration that applies to its whole call.
pub struct Caller {
    /// The configuration in force when the call arrived.
    pub configuration: Arc<Configuration>,
    /// The workspace whose key the caller presented.
    pub workspace: Workspace,
    /// The class that the call asked for, or the first class of the workspace.
    pub class: CallClass,
}

/// Authenticates a caller by the workspace and key in its headers, and finds the class of the call.
pub fn authenticate(api: &CallerApi, headers: &HeaderMap) -> Result<Caller, Problem> {
    let configuration = api.configuration().unwrap_or_default();
    let name = header_text(headers, WORKSPACE_HEADER)?
        .ok_or_else(|| malformed_request("the x-workspace header is missing"))?;
    let workspace = configuration
        .workspace(&name)
        .cloned()
        .ok_or_else(|| Problem::UnknownWorkspace(name.clone()))?;
    check_key(&workspace, headers)?;
    let class = find_class(&workspace, header_text(headers, CLASS_HEADER)?)?;
    Ok(Caller { configuration, workspace, class })
}

/// Returns a header's text; `None` if the header is missing.
pub fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value
        .to_str()
        .map_err(|_| malformed_request(&format!("header {name} is not visible ASCII text")))?;
    Ok(Some(text.to_string()))
}

fn check_key(workspace: &Workspace, headers: &HeaderMap) -> Result<(), Problem> {
    let given = header_text(headers, header::AUTHORIZATION.as_str())?.ok_or(Problem::WrongKey)?;
    let key = given.strip_prefix("Bearer ").ok_or(Problem::WrongKey)?;
    let digest = sha256_hex(key.as_bytes());
    let matches = digest.as_bytes().ct_eq(workspace.key_sha256_hex.as_bytes());
    if bool::from(matches) { Ok(()) } else { Err(Problem::WrongKey) }
}

fn find_class(workspace: &Workspace, name: Option<String>) -> Result<CallClass, Problem> {
    let found = match &name {
        Some(name) => workspace.class(name),
        None => workspace.classes.first(),
    };
    let not_allowed =
        || Problem::NotAllowed { kind: "class".to_string(), name: name.unwrap_or_default() };
    found.cloned().ok_or_else(not_allowed)
}
