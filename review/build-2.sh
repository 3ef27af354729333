#!/usr/bin/env bash
# Builds the programs of the cases 6 to 9: the tests and their stand-ins. They use the standard library alone, so
# that the build needs no network. The gateway itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/cases-2"
cargo build --release --locked --offline
