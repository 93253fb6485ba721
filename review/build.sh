#!/bin/sh
# Builds the stand-ins of the review's cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target
