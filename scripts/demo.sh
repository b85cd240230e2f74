#!/usr/bin/env bash
# Runs the main job on stand-ins: two data centres, two daemons each, two models, one order service.
# Stops everything it started, by process id. Exit code 0 only if every step passed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly START_PORT=${PLANTAINMUX_DEMO_PORT:-21400}
readonly TOKEN=demo-admin-token-0000
readonly KEY=demo-team-key-000000
work=$(mktemp -d)
pids=()
requests=0

stop_all() {
  local code=$?
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  [ "$code" -eq 0 ] || { echo "demo failed; last lines of the logs:"; tail -n 3 "$work"/*.log || true; }
  rm -rf "$work"
  exit "$code"
}
trap stop_all EXIT

fail() { echo "demo failed: $*" >&2; exit 1; }

# start NAME COMMAND... starts a process and remembers its id in $started.
start() {
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
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

port=$START_PORT
next_port() { port=$((port + 1)); }

go build -o bin/ ./cmd/...

echo "starting the platform's stand-ins"
next_port; log=127.0.0.1:$port;     start log ./bin/plantainfake log --listen "$log"
next_port; vms=127.0.0.1:$port;     start vms ./bin/plantainfake vms --listen "$vms"
next_port; weights=127.0.0.1:$port; start weights ./bin/plantainfake weights --listen "$weights"
next_port; orders=127.0.0.1:$port;  start orders ./bin/plantainfake service --listen "$orders"
for address in "$log" "$vms" "$weights" "$orders"; do
  until_ok 5 "start of $address" curl --max-time 10 -s -o /dev/null "http://$address/"
done

echo "starting 12 engines"
declare -A engine_pid engine_address
for centre in north south; do
  for number in 1 2 3 4 5 6; do
    next_port
    vm=$centre-vm$number
    start "$vm" ./bin/plantainfake engine --listen "127.0.0.1:$port" --vm "$vm" --weight-store "http://$weights"
    engine_pid[$vm]=$started
    engine_address[$vm]=127.0.0.1:$port
    curl --max-time 10 -sf -X PUT "http://$vms/vms" -d "{\"id\":\"$vm\",\"address\":\"127.0.0.1:$port\",\"data_centre\":\"$centre\",\"fabric_domain\":\"$centre-a\",\"accelerators\":8}"
  done
done

echo "starting 4 daemons"
names=(north-1 north-2 south-1 south-2)
callers=(); admins=(); peers=(); peer_list=""
for name in "${names[@]}"; do
  next_port; callers+=("127.0.0.1:$port")
  next_port; admins+=("127.0.0.1:$port")
  next_port; peers+=("127.0.0.1:$port")
  peer_list+="{address: \"127.0.0.1:$port\", data_centre: ${name%-*}}, "
done
declare -A daemon_pid
for i in "${!names[@]}"; do
  name=${names[$i]}
  cat >"$work/$name.yaml" <<YAML
data_centre: ${name%-*}
listen: {caller: "${callers[$i]}", peer: "${peers[$i]}", admin: "${admins[$i]}"}
platform: {log: "http://$log", vms: "http://$vms"}
peers: [${peer_list%, }]
peer_secret: demo-peer-secret-0000
admin_token: $TOKEN
timing: {drain_notice_ms: 200}
YAML
  start "$name" ./bin/plantainmuxd --settings "$work/$name.yaml"
  daemon_pid[$name]=$started
done

echo "publishing a configuration"
hash=$(./bin/plantainmux hash-key "$KEY")
cat >"$work/plantainmux.yaml" <<YAML
models:
  - name: swatch-draft
    version: v1
    members: 2
    requests: 16
    checks_fencing: true
    load_seconds: 1
    replicas: [{data_centre: north, count: 1}, {data_centre: south, count: 1}]
  - name: tally-draft
    version: v1
    members: 2
    requests: 16
    checks_fencing: true
    load_seconds: 1
    replicas: [{data_centre: north, count: 1}, {data_centre: south, count: 1}]
teams:
  - name: merchants
    key_hashes: [$hash]
    share: 10
services:
  - name: orders
    key_lifetime_seconds: 86400
    endpoints: [{address: "$orders", data_centre: north}]
    calls: [{method: POST, path: /orders, idempotent: false, timeout_seconds: 10}]
policy: {downtime_weight: 1, stranded_weight: 1}
YAML
./bin/plantainmux publish --log "http://$log" "$work/plantainmux.yaml"

ready() { curl --max-time 10 -sf -o /dev/null "http://$1/readyz"; }
for admin in "${admins[@]}"; do until_ok 10 "readiness of $admin" ready "$admin"; done

# complete ADMIN MODEL prints the members of the model's complete group.
complete() {
  ./bin/plantainmux status --token "$TOKEN" --daemon "$1" | grep "of $2 .*: complete" | sed 's/.*\[\(.*\)\]/\1/'
}
for admin in "${admins[@]}"; do
  for model in swatch-draft tally-draft; do until_ok 20 "group of $model on $admin" complete "$admin" "$model"; done
done
./bin/plantainmux status --token "$TOKEN" --daemon "${admins[0]}"

ask() {
  curl --max-time 10 -sf -N -H "Authorization: Bearer $KEY" "http://$1/v1/chat/completions" \
    -d "{\"model\":\"$2\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"describe sample $3\"}]}"
}
echo "asking for a streamed answer"
answer=$(ask "${callers[0]}" swatch-draft 1); requests=$((requests + 1))
grep -q '^data: \[DONE\]' <<<"$answer" || fail "the streamed answer is not whole: $answer"
[ "$(grep -c '"content"' <<<"$answer")" -eq 13 ] || fail "the streamed answer has not 12 tokens and an end"

place() {
  curl --max-time 10 -sf -H "Authorization: Bearer $KEY" -H "Idempotency-Key: $2" "http://$1/v1/services/orders/orders" -d '{"swatch":"laid cream 120g"}'
}
echo "placing an order, then repeating it on another daemon"
first=$(place "${callers[0]}" demo-1);  requests=$((requests + 1))
second=$(place "${callers[3]}" demo-1); requests=$((requests + 1))
[ "$first" = "$second" ] || fail "the repeat was answered otherwise: $first, $second"
runs=$(curl --max-time 10 -sf "http://$orders/runs" | grep -o '"key":"demo-1"' | wc -l)
[ "$runs" -eq 1 ] || fail "the order ran $runs times"

echo "killing one member of swatch-draft in north"
members=$(complete "${admins[0]}" swatch-draft)
victim=${members##* }
kill "${engine_pid[$victim]}"
gone() { ! complete "$1" swatch-draft | grep -q "$victim"; }
until_ok 10 "the stop of the group with $victim" gone "${admins[0]}"
echo "the group with $victim stopped; waiting for its repair"
until_ok 30 "the repair of swatch-draft" complete "${admins[0]}" swatch-draft
complete "${admins[0]}" swatch-draft | grep -q "$victim" && fail "the repaired group still has $victim"
answer=$(ask "${callers[1]}" swatch-draft 2); requests=$((requests + 1))
grep -q '^data: \[DONE\]' <<<"$answer" || fail "the answer after the repair is not whole"

echo "stopping one daemon gracefully, then asking for the evidence"
kill "${daemon_pid[south-2]}"
wait "${daemon_pid[south-2]}" || fail "the daemon did not stop cleanly"
./bin/plantainmux evidence --log "http://$log" --data-centre north --data-centre south >"$work/evidence.txt" || {
  cat "$work/evidence.txt"
  fail "the evidence shows a breach"
}
sed -n '3p' "$work/evidence.txt"

groups=0
for admin in "${admins[0]}" "${admins[2]}"; do
  groups=$((groups + $(./bin/plantainmux status --token "$TOKEN" --daemon "$admin" | grep -c ': complete')))
done
echo "demo ok: $requests requests, $groups groups, ${#pids[@]} processes"
