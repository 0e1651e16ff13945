# Starts and stops a small deployment on loopback for demo, fault and bench scripts. Source it.
# Every process is started by the script, remembered by its id, and ended by its id.

build=${LIMPET_BUILD:-build}
export LIMPET_NODE_SECRET=${LIMPET_NODE_SECRET:-local-trial-secret}
export LIMPET_CREDENTIAL=${LIMPET_CREDENTIAL:-local-trial-credential}
run_dir=$(mktemp -d)

# Each run takes a range of ports of its own, so that several may go on at once. The lock is held as long as this shell.
# The ranges lie below the ephemeral ports.
take_ports() {
  local base end=$((SECONDS + 300)) # longer than any case of another run
  while ((SECONDS < end)); do
    for base in ${LIMPET_BASE_PORT:-10000 16000 22000 27000}; do
      exec 9>"${TMPDIR:-/tmp}/limpet-ports-$base.lock"
      if flock -n 9; then
        base_port=$base
        return
      fi
    done
    sleep 1
  done
  echo "all port ranges are in use by other runs for 300 s; set LIMPET_BASE_PORT to a free range of 5,500 ports" >&2
  exit 2
}
base_port=
take_ports
store=127.0.0.1:$base_port
declare -A pids=()

# start NAME COMMAND...: runs in the background, log in $run_dir/NAME.log
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 9>&- &
  pids[$name]=$!
}

# stop_one NAME [SIGNAL]: ends one process and waits for it; its exit code is the result
stop_one() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  unset "pids[$1]"
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  pids=()
}

cleanup() {
  stop_all
  [ -n "${LIMPET_KEEP_LOGS:-}" ] || rm -rf "$run_dir"
}
trap cleanup EXIT

# wait_until SECONDS COMMAND...: repeats the command until it succeeds
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.05
  done
}

# must WHAT COMMAND...: a deployment that does not come up breaks whatever is tried on it
must() {
  local what=$1
  shift
  "$@" || { echo "$what did not come up" | tee -a "$run_dir/broken" >&2; return 1; }
}

is_ready() { curl -sf -m 1 "http://$1/readyz"; }

# Addresses by number.
dispatch_http() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
dispatch_listen() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
relay_port() { echo $((base_port + 400 + 10 * $1)); } # of the relay before dispatcher $1
target_relay_port() { echo $((base_port + 4001)); } # first port of the relay before comptoir

# relay_control PORT silence|block|one-way|clear
relay_control() { curl -sf -m 2 "http://127.0.0.1:$(($1 - 1))/control?action=$2"; }

front_http() { echo "127.0.0.1:$((base_port + 300 + $1))"; }

# Data centres of the deployment, by number.
data_centres=(qc-montreal qc-laval qc-longueuil qc-quebec)
data_centre() { echo "${data_centres[$(($1 % ${#data_centres[@]}))]}"; }

start_platform() {
  start platform "$build/fake-platform" --listen "$store"
  must platform wait_until 5 curl -sf -m 1 "http://$store/vms"
}

# start_relay NAME LISTEN-PORT TARGET-PORT COUNT
start_relay() {
  start "$1" "$build/relay" --listen-port "$2" --target-port "$3" --count "$4"
  must "$1" wait_until 5 relay_control "$2" clear
}

start_dispatch() {
  local number=$1
  shift
  if [ "${LIMPET_RELAY_DISPATCH:-}" = "$number" ] && [ -z "${pids[relay$number]:-}" ]; then
    start_relay "relay$number" "$(relay_port "$number")" $((base_port + 200 + number)) 1
  fi
  if [ "${LIMPET_RELAY_DISPATCH:-}" = "$number" ]; then set -- --advertise "127.0.0.1:$(relay_port "$number")" "$@"; fi
  start "dispatch$number" "$build/limpet-dispatch" --node "dispatch-$number" --data-centre "$(data_centre "$number")" \
    --listen "$(dispatch_listen "$number")" --http "$(dispatch_http "$number")" --store "$store" "$@"
}

start_front() {
  local number=$1
  shift
  start "front$number" "$build/limpet-front" --node "front-$number" --http "$(front_http "$number")" --store "$store" "$@"
}

# target_base FRONT: first port of a front's searchers
target_base() {
  case $1 in
  comptoir | streakview) echo $((base_port + 1001)) ;;
  commandes | accountdesk) echo $((base_port + 2001)) ;;
  *) echo $((base_port + 3001)) ;;
  esac
}

# start_target FRONT INSTANCES REPLICAS [flags]
start_target() {
  local front=$1 instances=$2 replicas=$3
  shift 3
  start "target-$front" "$build/fake-target" --front "$front" --base-port "$(target_base "$front")" \
    --instances "$instances" --replicas "$replicas" --journal "$run_dir/$front.journal" "$@"
  must "target $front" wait_until 5 curl -sf -m 1 "http://127.0.0.1:$(($(target_base "$front") - 1))/counters"
}

# target_control FRONT SEARCHER ACTION [VALUE]
target_control() {
  curl -sf -m 2 "http://127.0.0.1:$(($(target_base "$1") - 1))/control?searcher=$2&action=$3&value=${4:-0}"
}

target_counters() { curl -sf -m 2 "http://127.0.0.1:$(($(target_base "$1") - 1))/counters"; }

# front_section FRONT KIND INSTANCES REPLICAS MEMBERS-JSON: body of a front's section
front_section() {
  local front=$1 kind=$2 instances=$3 replicas=$4 extra=$5 base
  base=$(target_base "$front")
  if [ -n "${LIMPET_RELAY_TARGETS:-}" ] && [ "$front" = comptoir ]; then base=$(target_relay_port); fi
  local letters=abcdefgh
  local instance replica number
  for ((instance = 0; instance < instances; ++instance)); do
    for ((replica = 0; replica < replicas; ++replica)); do
      number=$((instance * replicas + replica))
      echo "{\"id\":\"$front-$instance${letters:$replica:1}\",\"data_centre\":\"$(data_centre "$number")\",\"address\":\"127.0.0.1:$((base + number))\",\"instance\":$instance}"
    done
  done | jq -cs --arg kind "$kind" --argjson extra "$extra" '{kind: $kind, searchers: .} + $extra'
}

ctl() { "$build/limpetctl" --store "$store" "$@"; }

apply_data_centres() {
  printf '%s\n' "${data_centres[@]}" | jq -Rcn '[inputs | {(.): {in: true}}] | add' | ctl apply data_centres - >/dev/null
}

# The deployment that most cases use: comptoir and commandes at their sizes of today.
start_tranchet() {
  local dispatchers=$1 fronts=$2 number
  start_platform
  start_target comptoir "${COMPTOIR_INSTANCES:-20}" 2 --slots 2 --connections 25 --connect-ms 6 ${COMPTOIR_FLAGS:-}
  start_target commandes 4 1 --slots 4 --connections 100 --connect-ms 1 --service-us 3000 ${COMMANDES_FLAGS:-}
  if [ -n "${LIMPET_RELAY_TARGETS:-}" ]; then start_relay relay-targets "$(target_relay_port)" "$(target_base comptoir)" $((${COMPTOIR_INSTANCES:-20} * 2)); fi
  apply_data_centres
  front_section comptoir fan_out "${COMPTOIR_INSTANCES:-20}" 2 "${COMPTOIR_MEMBERS:-{\"tenant\":\"tranchet\",\"deadline_ms\":250,\"priority\":0,\"slots\":2,\"connections\":25,\"cold_allowance\":1\}}" | ctl apply front.comptoir - >/dev/null
  front_section commandes single 4 1 '{"tenant":"tranchet","deadline_ms":1000,"priority":0,"slots":4,"connections":100,"cold_allowance":1}' | ctl apply front.commandes - >/dev/null
  for ((number = 0; number < dispatchers; ++number)); do start_dispatch "$number"; done
  for ((number = 0; number < fronts; ++number)); do start_front "$number"; done
  for ((number = 0; number < dispatchers; ++number)); do must "dispatch$number" wait_until 15 is_ready "$(dispatch_http "$number")"; done
  for ((number = 0; number < fronts; ++number)); do must "front$number" wait_until 15 is_ready "$(front_http "$number")"; done
}

# Makes a UUIDv7, as callers do for orders.
uuid7() {
  local ms hex
  ms=$(printf '%012x' "$(date +%s%3N)")
  hex=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  echo "${ms:0:8}-${ms:8:4}-7${hex:0:3}-8${hex:3:3}-${hex:6:12}"
}

search() { # search FRONT-NUMBER FRONT QUERY
  curl -s -m 5 -X POST "http://$(front_http "$1")/v1/fronts/$2/search" -d "{\"query\":\"$3\"}"
}

order() { # order FRONT-NUMBER FRONT KEY TEXT
  curl -s -m 5 -X POST "http://$(front_http "$1")/v1/fronts/$2/order" -H "Idempotency-Key: $3" -d "$4"
}
