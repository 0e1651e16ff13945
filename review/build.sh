#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, from the review's and the project's own sources. Needs
# the packages of deploy/system.toml, no other.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
shared=(test/standins/raw_server.cc test/standins/platform_store.cc test/standins/platform_searcher.cc
  src/transport/http_format.cc src/protocol/http_message.cc)
objects=()
for file in "${shared[@]}"; do
  object=$out/$(basename "$file" .cc).o
  g++ -std=c++20 -O1 -Iinclude -Isrc -Itest -c "$file" -o "$object" &
  objects+=("$object")
done
wait
for file in review/standins/*.cc; do
  g++ -std=c++20 -O1 -Iinclude -Isrc -Itest "$file" "${objects[@]}" -o "$out/$(basename "$file" .cc)" -lboost_json -lcrypto -lpthread
done
