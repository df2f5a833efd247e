//! RPC protocol between nodes: capnp-rpc over authenticated TCP connections.
//!
//! capnp-rpc objects are bound to one thread, so a dedicated thread runs them. The rest of the node
//! calls peers through [`PeerClient`], which implements `fl_kernel::services::PeerRpc`. See
//! `docs/design/030-acceptance-and-guardian.md`.

mod client;
mod codec;
mod connection_pool;
pub mod handshake;
mod peer_thread;
mod server;

#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
mod peer_capnp;

pub use client::PeerClient;
pub use peer_thread::{PeerOptions, start};
