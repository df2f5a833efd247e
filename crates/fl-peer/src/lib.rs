//! The protocol between nodes: capnp-rpc over authenticated TCP.
