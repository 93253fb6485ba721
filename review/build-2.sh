#!/bin/sh
# Builds the stand-ins and scripted cases of this review below target/.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target --examples
