#!/usr/bin/env bash
# Gateways are added while a searcher is cold. Exits with 1 if FAILBACK was broken.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" join_cold
