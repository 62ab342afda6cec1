#!/bin/sh
# Builds the stand-ins of the second review's cases into the root's target folder, without a network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target
