#!/usr/bin/env bash
# A gateway is killed and started again while a searcher is cold. Exits with 1 if FAILBACK was broken.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" kill_cold
