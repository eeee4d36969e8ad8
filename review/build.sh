#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs no network and no library.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review
