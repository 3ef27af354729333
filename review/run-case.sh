#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER PROGRAM. Writes FOLDER/record.txt and ends every process that the program
# started, by its id. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
RECORD_FOLDER=$(cd "$1" && pwd)
WORK_FOLDER=$(mktemp -d)
export RECORD_FOLDER WORK_FOLDER
cd "$(dirname "$0")/.." || exit 2
program=review/cases/target/release/$2

end_processes() {
  # A process that has ended may have passed on its id: only one that was started with the files of this run is killed.
  if [ -f "$WORK_FOLDER/pids" ]; then
    while read -r pid; do
      if tr "\0" "\n" 2> /dev/null < "/proc/$pid/environ" | grep -qxF "WORK_FOLDER=$WORK_FOLDER"; then
        kill -KILL "$pid"
      fi
    done < "$WORK_FOLDER/pids"
  fi
  rm -rf "$WORK_FOLDER"
}
trap end_processes EXIT

if [ ! -x target/release/reedwalk ] || [ ! -x "$program" ]; then
  echo 'build the gateway as deploy/balancer.toml says, then run review/build.sh' >&2
  exit 2
fi
timeout --kill-after=5 110 "$program"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
