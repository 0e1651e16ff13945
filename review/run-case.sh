# Runs a case: run_case PROGRAM. Sourced by the run.sh of each case, with case_dir set to its folder.
# The program is the stand-in; it writes one settings file for each gateway: node.toml, node.toml.1 and so on. The
# gateways start with the command of deploy/system.toml, on loopback addresses of their own. Ends what it started.
run_case() {
  local program=target/review/$1 trouble=${TROUBLE:-1} ip dir standin gateway status run file
  local pids=()
  [ -x "$program" ] && [ -x target/limpet-gateway ] || { echo "build first: the build of deploy/system.toml, then review/build.sh"; return 2; }
  run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
  ip=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).$((RANDOM % 200 + 1))
  dir=$(mktemp -d)
  timeout 110 "$program" "$ip" 8104 "$dir/node.toml" "$case_dir/record.txt" "$trouble" &
  standin=$!
  trap 'kill "$standin" "${pids[@]}" 2>/dev/null' EXIT
  for _ in $(seq 50); do [ -s "$dir/node.toml" ] && break; sleep 0.1; done
  sleep 0.2
  for file in "$dir"/node.toml*; do
    LIMPETPIER_NODE_FILE=$file LIMPET_NODE_SECRET=review-secret $run >"$file.log" 2>&1 &
    pids+=($!)
  done
  status=0
  wait "$standin" || status=$? # 124 if it did not end by itself
  for gateway in "${pids[@]}"; do
    kill -0 "$gateway" 2>/dev/null || { echo "a gateway has ended by itself"; status=2; }
    kill -KILL "$gateway" 2>/dev/null || true
    wait "$gateway" 2>/dev/null || true
  done
  [ -z "${KEEP_LOG:-}" ] || cat "$dir"/*.log >"$KEEP_LOG"
  trap - EXIT
  rm -rf "$dir"
  [ "$status" -le 1 ] || status=2
  return "$status"
}
