#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use Boost only, which the build of the deploy file
# needs as well.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$name" "$source" -lboost_json -lpthread &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
