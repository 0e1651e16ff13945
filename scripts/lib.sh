# Functions that start and stop a small deployment on loopback, for the demo, fault, soak and bench scripts. Source this
# file. It records the id of every process that it starts and signals only these ids.

build=${LIMPET_BUILD:-build}
export LIMPET_NODE_SECRET=${LIMPET_NODE_SECRET:-local-trial-secret}
export LIMPET_CREDENTIAL=${LIMPET_CREDENTIAL:-local-trial-credential}
run_dir=$(mktemp -d)

# Reserves a range of ports for this run, so that several runs can execute in parallel. The shell holds the lock on the
# range until it exits. The ranges are below the ephemeral ports.
reserve_ports() {
  local base end=$((SECONDS + 300)) # longer than any single case of another run
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
  echo "other runs held all port ranges for 300 s; set LIMPET_BASE_PORT to the first port of a free range of 5,500 ports" >&2
  exit 2
}
base_port=
reserve_ports
store=127.0.0.1:$base_port
declare -A pids=()

# start NAME COMMAND...: runs COMMAND in the background and writes its output to $run_dir/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 9>&- &
  pids[$name]=$!
}

# stop_one NAME [SIGNAL]: signals a process (default TERM), waits for it and returns its exit code.
stop_one() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  unset "pids[$1]"
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null
}

# Kills all processes, including paused ones, and waits for them.
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

# wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds; returns 1 after SECONDS.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.05
  done
}

# require_start WHAT COMMAND...: records a failed check if COMMAND, which waits for WHAT to start, fails. A case on an
# incomplete deployment must not pass.
require_start() {
  local what=$1
  shift
  "$@" || { echo "$what did not start in time" | tee -a "$run_dir/failed-checks" >&2; return 1; }
}

is_ready() { curl -sf -m 1 "http://$1/readyz"; }

# Addresses and ports of the processes, by number.
dispatch_http() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
dispatch_listen() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
relay_port() { echo $((base_port + 400 + 10 * $1)); } # relay in front of dispatcher $1
target_relay_port() { echo $((base_port + 4001)); } # first port of the relay in front of the searchers of comptoir

# relay_control PORT silence|block|one-way|clear: sets the fault that the relay on PORT applies.
relay_control() { curl -sf -m 2 "http://127.0.0.1:$(($1 - 1))/control?action=$2"; }

front_http() { echo "127.0.0.1:$((base_port + 300 + $1))"; }

# Data centres of the deployment, by number.
data_centres=(qc-montreal qc-laval qc-longueuil qc-quebec)
data_centre() { echo "${data_centres[$(($1 % ${#data_centres[@]}))]}"; }

start_platform() {
  start platform "$build/fake-platform" --listen "$store"
  require_start platform wait_until 5 curl -sf -m 1 "http://$store/vms"
}

# start_relay NAME LISTEN-PORT TARGET-PORT COUNT: relays COUNT consecutive ports.
start_relay() {
  start "$1" "$build/relay" --listen-port "$2" --target-port "$3" --count "$4"
  require_start "$1" wait_until 5 relay_control "$2" clear
}

# start_dispatch NUMBER [FLAGS...]: starts a dispatcher, behind a relay if LIMPET_RELAY_DISPATCH is its number.
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

# start_front NUMBER [FLAGS...]
start_front() {
  local number=$1
  shift
  start "front$number" "$build/limpet-front" --node "front-$number" --http "$(front_http "$number")" --store "$store" "$@"
}

# target_base_port FRONT: prints the first port of the front's searchers.
target_base_port() {
  case $1 in
  comptoir | streakview) echo $((base_port + 1001)) ;;
  commandes | accountdesk) echo $((base_port + 2001)) ;;
  *) echo $((base_port + 3001)) ;;
  esac
}

# start_target FRONT INSTANCES REPLICAS [FLAGS...]: starts the simulated searchers of a front.
start_target() {
  local front=$1 instances=$2 replicas=$3
  shift 3
  start "target-$front" "$build/fake-target" --front "$front" --base-port "$(target_base_port "$front")" \
    --instances "$instances" --replicas "$replicas" --journal "$run_dir/$front.journal" "$@"
  require_start "target $front" wait_until 5 curl -sf -m 1 "http://127.0.0.1:$(($(target_base_port "$front") - 1))/counters"
}

# target_control FRONT SEARCHER ACTION [VALUE]: applies ACTION to one simulated searcher.
target_control() {
  curl -sf -m 2 "http://127.0.0.1:$(($(target_base_port "$1") - 1))/control?searcher=$2&action=$3&value=${4:-0}"
}

target_counters() { curl -sf -m 2 "http://127.0.0.1:$(($(target_base_port "$1") - 1))/counters"; }

# front_section FRONT KIND INSTANCES REPLICAS MEMBERS-JSON: prints the body of the front's configuration section.
front_section() {
  local front=$1 kind=$2 instances=$3 replicas=$4 extra_members=$5 first_port
  first_port=$(target_base_port "$front")
  if [ -n "${LIMPET_RELAY_TARGETS:-}" ] && [ "$front" = comptoir ]; then first_port=$(target_relay_port); fi
  local replica_letters=abcdefgh
  local instance replica number
  for ((instance = 0; instance < instances; ++instance)); do
    for ((replica = 0; replica < replicas; ++replica)); do
      number=$((instance * replicas + replica))
      echo "{\"id\":\"$front-$instance${replica_letters:$replica:1}\",\"data_centre\":\"$(data_centre "$number")\",\"address\":\"127.0.0.1:$((first_port + number))\",\"instance\":$instance}"
    done
  done | jq -cs --arg kind "$kind" --argjson extra "$extra_members" '{kind: $kind, searchers: .} + $extra'
}

ctl() { "$build/limpetctl" --store "$store" "$@"; }

# Applies a configuration in which all data centres take traffic.
apply_data_centres() {
  printf '%s\n' "${data_centres[@]}" | jq -Rcn '[inputs | {(.): {in: true}}] | add' | ctl apply data_centres - >/dev/null
}

# start_tranchet DISPATCHERS FRONTS: starts the deployment that most cases use, comptoir and commandes at their current
# production sizes, and waits until every process is ready.
start_tranchet() {
  local dispatchers=$1 fronts=$2 number
  start_platform
  start_target comptoir "${COMPTOIR_INSTANCES:-20}" 2 --slots 2 --connections 25 --connect-ms 6 ${COMPTOIR_FLAGS:-}
  start_target commandes 4 1 --slots 4 --connections 100 --connect-ms 1 --service-us 3000 ${COMMANDES_FLAGS:-}
  if [ -n "${LIMPET_RELAY_TARGETS:-}" ]; then start_relay relay-targets "$(target_relay_port)" "$(target_base_port comptoir)" $((${COMPTOIR_INSTANCES:-20} * 2)); fi
  apply_data_centres
  front_section comptoir fan_out "${COMPTOIR_INSTANCES:-20}" 2 "${COMPTOIR_MEMBERS:-{\"tenant\":\"tranchet\",\"deadline_ms\":250,\"priority\":0,\"slots\":2,\"connections\":25,\"cold_allowance\":1\}}" | ctl apply front.comptoir - >/dev/null
  front_section commandes single 4 1 '{"tenant":"tranchet","deadline_ms":1000,"priority":0,"slots":4,"connections":100,"cold_allowance":1}' | ctl apply front.commandes - >/dev/null
  for ((number = 0; number < dispatchers; ++number)); do start_dispatch "$number"; done
  for ((number = 0; number < fronts; ++number)); do start_front "$number"; done
  for ((number = 0; number < dispatchers; ++number)); do require_start "dispatch$number" wait_until 15 is_ready "$(dispatch_http "$number")"; done
  for ((number = 0; number < fronts; ++number)); do require_start "front$number" wait_until 15 is_ready "$(front_http "$number")"; done
}

# Prints a UUIDv7, the form of an order's idempotency key.
uuid7() {
  local ms hex
  ms=$(printf '%012x' "$(date +%s%3N)")
  hex=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  echo "${ms:0:8}-${ms:8:4}-7${hex:0:3}-8${hex:3:3}-${hex:6:12}"
}

# search FRONT-NUMBER FRONT QUERY
search() {
  curl -s -m 5 -X POST "http://$(front_http "$1")/v1/fronts/$2/search" -d "{\"query\":\"$3\"}"
}

# order FRONT-NUMBER FRONT IDEMPOTENCY-KEY BODY
order() {
  curl -s -m 5 -X POST "http://$(front_http "$1")/v1/fronts/$2/order" -H "Idempotency-Key: $3" -d "$4"
}
