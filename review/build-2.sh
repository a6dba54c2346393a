#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the `build` line of deploy/system.toml. It needs only the Rust
# tool chain and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case review/standin-2/main.rs
