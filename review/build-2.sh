#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in review/6 to review/10; they depend on nothing
# but the standard library.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
