#!/usr/bin/env bash
# Builds all binaries and runs the demo, which ends by itself and leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --workspace --bins
cargo build --locked -p fl-standins --examples
exec python3 scripts/demo.py "$PWD/${CARGO_TARGET_DIR:-target}/debug"
