#!/usr/bin/env bash
# Runs the stand-in of a case: run-case-2.sh FOLDER PROGRAM. The stand-in starts the gateways with the command of
# deploy/system.toml, each on a loopback address of its own, and ends them. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
program=$2
cd "$(dirname "$0")/.." || exit 2
[ -x "target/review-2/$program" ] && [ -x target/limpet-gateway ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
command=$(sed -nE 's/^run = "(target\/limpet-gateway[^"]*)"$/\1/p' deploy/system.toml | head -1)
[ -n "$command" ] || { echo "deploy/system.toml has no gateway" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pid=
cleanup() {
  [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null # the gateways end with their parent
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
# Each run has loopback addresses of its own, so that the ports of the settings are free on them.
subnet=127.$((20 + RANDOM % 200)).$((RANDOM % 250))
# shellcheck disable=SC2086 # the command is split at spaces, as the platform does
timeout -k 5 118 "target/review-2/$program" "$work" "$subnet" "$folder/record.txt" $command &
pid=$!
wait "$pid"
status=$?
pid=
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
