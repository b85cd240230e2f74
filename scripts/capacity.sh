#!/usr/bin/env bash
# Measures what a daemon spends on control by the number of peers, watched VMs and configuration changes, at three
# sizes or more each, and fits the slopes that docs/CAPACITY.md works with. Real processes on loopback; stops all it
# started. Usage: capacity.sh [vms|daemons|growth|centres|changes]...; all parts take about fifteen minutes, on an idle machine.
# With PLANTAINMUX_CAPACITY_PROFILES set to a directory, the first daemon's CPU profile of each size is kept there.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly START_PORT=${PLANTAINMUX_CAPACITY_PORT:-24000}
readonly SETTLE=${PLANTAINMUX_CAPACITY_SETTLE:-15}   # seconds before a measurement
readonly WINDOW=${PLANTAINMUX_CAPACITY_WINDOW:-20s}
readonly PROFILES=${PLANTAINMUX_CAPACITY_PROFILES:-}
readonly PROFILE_SECONDS=20
readonly CORES=${PLANTAINMUX_CAPACITY_CORES:-2}        # of an entry VM
readonly TOKEN=capacity-admin-token
work=$(mktemp -d)
lines=$work/lines
pids=()
port=$START_PORT

stop_all() {
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

start() {
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# fleet CENTRES DAEMONS_PER_CENTRE VMS_PER_CENTRE starts a fleet and sets $admins (of the first data centre) and $log.
fleet() {
  local centres=$1 daemons=$2 vms=$3 centre index peer_list=""
  port=$((port + 1)); log=127.0.0.1:$port;  start log ./bin/plantainfake log --listen "$log"
  port=$((port + 1)); local list=127.0.0.1:$port; start vms ./bin/plantainfake vms --listen "$list"
  sleep 1
  for centre in $(seq "$centres"); do
    start "engines-$centre" ./bin/plantainfake engines --data-centre "dc$centre" --domains 4 --per-domain $((vms / 4))
  done
  sleep 2
  for centre in $(seq "$centres"); do
    grep '^{' "$work/engines-$centre.log" | while read -r vm; do curl --max-time 5 -sf -X PUT "http://$list/vms" -d "$vm"; done
  done
  admins=()
  local first_port=$((port + 1))
  for centre in $(seq "$centres"); do
    for index in $(seq "$daemons"); do
      port=$((port + 3))
      peer_list+="{address: \"127.0.0.1:$port\", data_centre: dc$centre}, "
    done
  done
  port=$((first_port - 1))
  for centre in $(seq "$centres"); do
    for index in $(seq "$daemons"); do
      local caller=127.0.0.1:$((port + 1)) admin=127.0.0.1:$((port + 2)) peer=127.0.0.1:$((port + 3))
      port=$((port + 3))
      [ "$centre" -eq 1 ] && admins+=("$admin")
      cat >"$work/dc$centre-$index.yaml" <<YAML
data_centre: dc$centre
listen: {caller: "$caller", peer: "$peer", admin: "$admin"}
platform: {log: "http://$log", vms: "http://$list"}
peers: [${peer_list%, }]
peer_secret: capacity-peer-secret
admin_token: $TOKEN
YAML
      GOMAXPROCS=$CORES start "dc$centre-$index" ./bin/plantainmuxd --settings "$work/dc$centre-$index.yaml"
    done
  done
  publish 0 "$centres" "$vms"
  sleep "$SETTLE"
}

# publish BASE CENTRES VMS puts a configuration in force that puts every VM into a group of four.
publish() {
  local base=$1 centres=$2 vms=$3 replicas="" centre
  for centre in $(seq "$centres"); do replicas+="{data_centre: dc$centre, count: $((vms / 4))}, "; done
  cat >"$work/plantainmux.yaml" <<YAML
models:
  - {name: draft, version: v1, members: 4, requests: 16, checks_fencing: true, load_seconds: 1, replicas: [${replicas%, }]}
teams:
  - {name: merchants, share: 10, key_hashes: [$(./bin/plantainmux hash-key "capacity-$base")]}
policy: {downtime_weight: 1, stranded_weight: 1}
YAML
  version=$(./bin/plantainmux publish --log "http://$log" --base "$base" "$work/plantainmux.yaml" | grep -o '[0-9]*' | head -1)
}

# in_force prints the version in force.
in_force() {
  ./bin/plantainmux status --token "$TOKEN" --daemon "${admins[0]}" --output json | grep -o '"config_version": *[0-9]*' | grep -o '[0-9]*$' | head -1
}

measure() {
  local by=$1 size=$2 flags=() admin
  for admin in "${admins[@]}"; do flags+=(--admin "$admin"); done
  ./bin/plantainfake measure "${flags[@]}" --window "$WINDOW" --by "$by" --size "$size" | tee -a "$lines"
  profile "$by-$size"
}

# profile NAME keeps the first daemon's CPU profile, if profiles are asked for.
profile() {
  [ -n "$PROFILES" ] || return 0
  curl --max-time $((PROFILE_SECONDS + 10)) -sf -H "Authorization: Bearer $TOKEN" -o "$PROFILES/$1.pprof" \
    "http://${admins[0]}/debug/pprof/profile?seconds=$PROFILE_SECONDS"
}

go build -o bin/ ./cmd/...

measure_vms() {
  for vms in 32 96 192 384; do
    fleet 1 4 "$vms"
    measure vms_polled_by_a_daemon "$((vms / 2))"   # two of four daemons watch each VM
    stop_all
  done
}

measure_daemons() {
  for daemons in ${PLANTAINMUX_CAPACITY_DAEMONS:-2 4 8 16 24 32 47}; do
    fleet 1 "$daemons" 64
    measure daemons_of_a_data_centre "$daemons"
    stop_all
  done
}

# A data centre that grows in daemons and VMs alike, up to the size of docs/CAPACITY.md.
measure_growth() {
  local size
  for size in ${PLANTAINMUX_CAPACITY_GROWTH:-8:72 24:220 47:432}; do
    fleet 1 "${size%:*}" "${size#*:}"
    measure daemons_of_a_growing_data_centre "${size%:*}"
    stop_all
  done
}

measure_centres() {
  for centres in 1 2 3 5 7; do
    fleet "$centres" 3 16
    measure data_centres "$centres"
    stop_all
  done
}

measure_changes() {
  fleet 1 4 32
  for changes in 0 10 20; do
    for _ in $(seq "$changes"); do
      publish "$version" 1 32
      sleep 0.5
    done &
    measure configuration_changes_in_the_window "$changes"
    wait $!
    version=$(in_force)
  done
  stop_all
}

for part in "${@:-vms daemons growth centres changes}"; do
  for name in $part; do "measure_$name"; done
done

echo
./bin/plantainfake fit <"$lines"
