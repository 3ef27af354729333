#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases; the gateway itself is built as deploy/balancer.toml says.
set -euo pipefail
cd "$(dirname "$0")/cases"
cargo build --release --locked
