#!/usr/bin/env bash
# A cold searcher becomes cold again. Exits with 1 if FAILBACK was broken.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" cold_again
