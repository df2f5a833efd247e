//! Finds the admin addresses of all nodes, starting from the given ones.

use crate::error::CommandError;
use fl_platform::{HttpClient, HttpError};
use fl_protocol::MemberState;
use fl_protocol::admin::{STATUS_PATH, StatusPage};
use futures::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one request to a node's admin address.
pub const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the status page of the node with this admin address.
pub async fn read_status(client: &HttpClient, admin: SocketAddr) -> Result<StatusPage, HttpError> {
    client.get_json(&format!("http://{admin}{STATUS_PATH}"), NODE_TIMEOUT).await
}

/// Returns the sorted admin addresses of the given nodes and of all live members they know.
///
/// Fails if no further node was found and a given one did not answer.
pub async fn discover_nodes(
    client: &HttpClient,
    admin_addresses: &[SocketAddr],
) -> Result<Vec<SocketAddr>, CommandError> {
    let responses = join_all(admin_addresses.iter().map(|admin| read_status(client, *admin))).await;
    let mut found = admin_addresses.to_vec();
    let mut last_error = None;
    for response in responses {
        match response {
            Ok(page) => found.extend(live_addresses(&page)),
            Err(error) => last_error = Some(error),
        }
    }
    found.sort_unstable();
    found.dedup();
    match last_error {
        Some(error) if found.len() == admin_addresses.len() => {
            Err(CommandError::Unreachable(error))
        }
        _ => Ok(found),
    }
}

fn live_addresses(page: &StatusPage) -> impl Iterator<Item = SocketAddr> {
    let live = page.members.iter().filter(|member| member.state != MemberState::Dead);
    live.map(|member| member.admin_address)
}
