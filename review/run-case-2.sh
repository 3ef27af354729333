#!/usr/bin/env bash
# Runs the program of a case: run-case-2.sh FOLDER PROGRAM. The program writes FOLDER/record.txt. Exits with 1 if the
# rule was broken, with 0 if it held, and with 2 if the case could not run. Every gateway that the program left running
# is ended, by its id.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=review/cases-2/target/release/$2
if [ ! -x "$program" ] || [ ! -x target/release/reedwalk ]; then
  echo "not built: $program or target/release/reedwalk" >&2
  exit 2
fi
# The program writes the id of each gateway into this file, which also marks the gateways' environment.
CASE_PROCESSES=$(mktemp)
export CASE_PROCESSES
end_processes() {
  while read -r process; do
    # A process that has ended may have passed on its id: only one with the mark of this run is ended.
    if tr '\0' '\n' 2> /dev/null < "/proc/$process/environ" | grep -qxF "CASE_PROCESSES=$CASE_PROCESSES"; then
      kill -KILL "$process"
    fi
  done < "$CASE_PROCESSES"
  rm -f "$CASE_PROCESSES"
}
trap end_processes EXIT
timeout --kill-after=2 115 "$program" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
