#!/usr/bin/env bash
# A gateway is restarted while the store loses one answer and does the write later; then a searcher is cold. Exits with 1 if FAILBACK was broken.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" late_entry
