# Shared by the scripts that run whole processes: starts stand-ins and daemons as processes of their own on loopback, and stops by
# process id all that was started. A script that sources this file sets `name` and START_PORT first.

readonly TOKEN=demo-admin-token-0000
readonly KEY=demo-team-key-000000
work=$(mktemp -d)
pids=()
port=$START_PORT
declare -A engine_pid engine_address
declare -A daemon_pid caller_of admin_of ready_of

stop_all() {
  local code=$?
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill -CONT "$pid" 2>/dev/null && kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  [ "$code" -eq 0 ] || { echo "$name failed; last lines of the logs:"; tail -n 3 "$work"/*.log || true; }
  rm -rf "$work"
  exit "$code"
}

fail() { echo "$name failed: $*" >&2; exit 1; }

# note FILE TEXT... appends one line; short lines are appended whole.
note() { local file=$1; shift; printf '%s\n' "$*" >>"$work/$file"; }

lines() { [ -e "$work/$1" ] && wc -l <"$work/$1" || echo 0; }

# more FILE COUNT succeeds once a file has more lines.
more() { [ "$(lines "$1")" -gt "$2" ]; }

next_port() { port=$((port + 1)); }

# start NAME COMMAND... starts a process and remembers its id in $started.
start() {
  local process=$1; shift
  "$@" >>"$work/$process.log" 2>&1 &
  started=$!
  pids+=("$started")
}

# until_ok SECONDS DESCRIPTION COMMAND... repeats a command until it succeeds.
until_ok() {
  local seconds=$1 description=$2; shift 2
  for _ in $(seq $((seconds * 10))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$description did not happen within ${seconds}s"
}

# start_platform starts the log, the list of VMs, the weight store and the order service.
start_platform() {
  next_port; log=127.0.0.1:$port;     start log ./bin/plantainfake log --listen "$log"; log_pid=$started
  next_port; vms=127.0.0.1:$port;     start vms ./bin/plantainfake vms --listen "$vms"
  next_port; weights=127.0.0.1:$port; start weights ./bin/plantainfake weights --listen "$weights"
  next_port; orders=127.0.0.1:$port;  start orders ./bin/plantainfake service --listen "$orders"
  for address in "$log" "$vms" "$weights" "$orders"; do
    until_ok 5 "start of $address" curl --max-time 10 -s -o /dev/null "http://$address/"
  done
}

# start_engines DATA_CENTRE COUNT [FLAG...] starts engines and lists their VMs.
start_engines() {
  local centre=$1 count=$2 number vm; shift 2
  for number in $(seq "$count"); do
    next_port
    vm=$centre-vm$number
    start "$vm" ./bin/plantainfake engine --listen "127.0.0.1:$port" --vm "$vm" --weight-store "http://$weights" "$@"
    engine_pid[$vm]=$started
    engine_address[$vm]=127.0.0.1:$port
    curl --max-time 10 -sf -X PUT "http://$vms/vms" -d "{\"id\":\"$vm\",\"address\":\"127.0.0.1:$port\",\"data_centre\":\"$centre\",\"fabric_domain\":\"$centre-a\",\"accelerators\":8}"
  done
}

# start_daemons DRAIN_NOTICE_MS NAME... starts daemons that are named after their data centre, as north-1.
start_daemons() {
  local notice=$1 daemon peer_list=""; shift
  local -A peer_of
  for daemon in "$@"; do
    next_port; caller_of[$daemon]=127.0.0.1:$port
    next_port; admin_of[$daemon]=127.0.0.1:$port
    next_port; peer_of[$daemon]=127.0.0.1:$port
    peer_list+="{address: \"${peer_of[$daemon]}\", data_centre: ${daemon%-*}}, "
  done
  for daemon in "$@"; do
    cat >"$work/$daemon.yaml" <<YAML
data_centre: ${daemon%-*}
listen: {caller: "${caller_of[$daemon]}", peer: "${peer_of[$daemon]}", admin: "${admin_of[$daemon]}"}
platform: {log: "http://$log", vms: "http://$vms"}
peers: [${peer_list%, }]
peer_secret: demo-peer-secret-0000
admin_token: $TOKEN
timing: {drain_notice_ms: $notice}
YAML
    start_daemon "$daemon"
  done
}

# start_daemon NAME starts a daemon whose settings exist.
start_daemon() {
  start "$1" ./bin/plantainmuxd --settings "$work/$1.yaml"
  daemon_pid[$1]=$started
}

# publish_sample DATA_CENTRE... publishes two models with a group each in every data centre, a team and a service.
publish_sample() {
  local hash replicas="" centre
  hash=$(./bin/plantainmux hash-key "$KEY")
  for centre in "$@"; do replicas+="{data_centre: $centre, count: 1}, "; done
  cat >"$work/plantainmux.yaml" <<YAML
models:
  - name: swatch-draft
    version: v1
    members: 2
    requests: 16
    checks_fencing: true
    load_seconds: 1
    replicas: [${replicas%, }]
  - name: tally-draft
    version: v1
    members: 2
    requests: 16
    checks_fencing: true
    load_seconds: 1
    replicas: [${replicas%, }]
teams:
  - name: merchants
    key_hashes: [$hash]
    share: 10
services:
  - name: orders
    key_lifetime_seconds: 86400
    endpoints: [{address: "$orders", data_centre: $1}]
    calls: [{method: POST, path: /orders, idempotent: false, timeout_seconds: 10}]
policy: {downtime_weight: 1, stranded_weight: 1}
YAML
  ./bin/plantainmux publish --log "http://$log" "$work/plantainmux.yaml"
}

# is_ready DAEMON succeeds if the daemon says that it is ready.
is_ready() { curl --max-time 2 -sf -o /dev/null "http://${admin_of[$1]}/readyz"; }

# complete DAEMON MODEL prints the members of the model's complete group.
complete() {
  ./bin/plantainmux status --token "$TOKEN" --daemon "${admin_of[$1]}" | grep "of $2 .*: complete" | sed 's/.*\[\(.*\)\]/\1/'
}

# await_groups DAEMON... waits until each daemon is ready and sees a complete group of each model.
await_groups() {
  local daemon model
  for daemon in "$@"; do until_ok 10 "readiness of $daemon" is_ready "$daemon"; done
  for daemon in "$@"; do
    for model in swatch-draft tally-draft; do until_ok 20 "group of $model on $daemon" complete "$daemon" "$model"; done
  done
}

# ask ADDRESS MODEL NUMBER TOKENS asks for a streamed answer.
ask() {
  curl --max-time 20 -s -N -H "Authorization: Bearer $KEY" "http://$1/v1/chat/completions" \
    -d "{\"model\":\"$2\",\"stream\":true,\"max_tokens\":$4,\"messages\":[{\"role\":\"user\",\"content\":\"describe sample $3\"}]}"
}

# place ADDRESS ORDER_KEY [CURL_FLAG...] places an order.
place() {
  local address=$1 key=$2; shift 2
  curl --max-time 20 -s "$@" -H "Authorization: Bearer $KEY" -H "Idempotency-Key: $key" "http://$address/v1/services/orders/orders" -d '{"swatch":"laid cream 120g"}'
}

# platform_settings NAME DATA_CENTRE PORT FIRST [BOUNDS [LINE]] prints the settings of a daemon on the users' platform, with
# further bounds and a further line. The addresses are in $store, caller_of and ready_of.
platform_settings() {
  cat <<YAML
node: $1
data_centre: $2
${6:-}
store: $store
first: $4
listen: {callers: "${caller_of[$1]}", readiness: "${ready_of[$1]}", host: 127.0.0.1, first_port: $3, last_port: $3}
limits: {memory_mb: 256, cpu_share: 1}
bounds: {grace_s: 6, stability_window_ms: 3000, configuration_ms: 2000, retry_share: 0.2, retry_slack: 100, retry_window_s: 10${5:+, $5}}
YAML
}
