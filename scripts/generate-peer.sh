#!/usr/bin/env bash
# Regenerates crates/fl-peer/src/peer_capnp.rs. Requires `capnp` and `capnpc-rust` on the PATH.
set -euo pipefail
cd "$(dirname "$0")/../crates/fl-peer"
capnp compile --src-prefix=schema -o rust:src schema/peer.capnp
