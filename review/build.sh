#!/bin/sh
# Builds the stand-ins of the review: the standard library only, nothing is fetched.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/play review/standin/play.rs
