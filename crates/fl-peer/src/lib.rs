//! The protocol between nodes: capnp-rpc over authenticated TCP.
//!
//! capnp-rpc objects stay on one thread, so a thread of its own runs them; the rest of the node
//! talks to it through [`PeerClient`], which implements `fl_kernel::services::Peers`. See
//! `docs/design/030-acceptance-and-guardian.md`.

mod client;
mod codec;
mod connections;
pub mod handshake;
mod server;
mod thread;

#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
mod peer_capnp;

pub use client::PeerClient;
pub use thread::{PeerOptions, start};
