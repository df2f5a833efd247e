#!/usr/bin/env bash
# Builds everything and runs the main job; ends by itself and leaves no process.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --workspace --bins
cargo build --locked -p fl-standins --examples
exec python3 scripts/demo.py "$PWD/${CARGO_TARGET_DIR:-target}/debug"
