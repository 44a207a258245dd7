#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They use the standard library alone, so that no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
