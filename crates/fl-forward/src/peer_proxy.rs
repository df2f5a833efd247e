//! Sends calls to servers through a peer, for a node that has lost its own links to them.
//!
//! The node that the caller reached decides everything: admission, placement, retries, how a
//! stream goes on. The peer sends one request to the server that is named and returns the response;
//! it never sends a call to another peer. See `docs/design/110-lost-links.md`.

mod client;
mod exchange;
mod message;
mod server;

pub use client::{reaches_server, send, some_peers};
pub use server::serve;
