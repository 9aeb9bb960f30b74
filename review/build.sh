#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The daemon is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
