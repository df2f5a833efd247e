//! Finds the nodes: from one admin address to those of all members.

use crate::error::CommandError;
use fl_platform::{HttpClient, HttpError};
use fl_protocol::MemberState;
use fl_protocol::admin::{STATUS_PATH, StatusPage};
use futures::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a node may take to answer an operator.
pub const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the status of one node.
pub async fn read_status(client: &HttpClient, admin: SocketAddr) -> Result<StatusPage, HttpError> {
    client.get_json(&format!("http://{admin}{STATUS_PATH}"), NODE_TIMEOUT).await
}

/// Finds the admin addresses of all nodes that the given ones know, sorted; fails when none of the
/// given ones answers.
pub async fn discover_nodes(
    client: &HttpClient,
    given: &[SocketAddr],
) -> Result<Vec<SocketAddr>, CommandError> {
    let answers = join_all(given.iter().map(|admin| read_status(client, *admin))).await;
    let mut found = given.to_vec();
    let mut last_error = None;
    for answer in answers {
        match answer {
            Ok(page) => found.extend(live_addresses(&page)),
            Err(error) => last_error = Some(error),
        }
    }
    found.sort_unstable();
    found.dedup();
    match last_error {
        Some(error) if found.len() == given.len() => Err(CommandError::Unreachable(error)),
        _ => Ok(found),
    }
}

fn live_addresses(page: &StatusPage) -> impl Iterator<Item = SocketAddr> {
    let live = page.members.iter().filter(|member| member.state != MemberState::Dead);
    live.map(|member| member.admin_address)
}
