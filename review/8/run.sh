#!/usr/bin/env bash
# A gateway gets SIGTERM while a searcher is cold. Exits with 1 if FAILBACK was broken.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" stop_cold
