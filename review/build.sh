#!/usr/bin/env bash
# Builds every stand-in that the cases' scripts start. Needs no network: the crate has no dependencies.
# The dispatcher itself is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
