#!/usr/bin/env bash
# Runs this case; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" cancelled-in-upgrade
