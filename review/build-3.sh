#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/rehearsal/Cargo.toml --target-dir target/review-3
