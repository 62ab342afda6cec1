#!/bin/sh
# Builds the stand-ins and the runner of the cases, into the target directory of the root.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target
