#!/usr/bin/env bash
# A rolling replacement under load: daemons of the previous version (built from the repository's history) are replaced by
# this one, and half of them back again, on the stand-in of the users' platform, with real processes on loopback. A head of
# a group is killed while both versions run. Callers behind a balancer ask for streams and for requests that must not be
# repeated; none may fail, and none of the latter may run twice. Stops everything it started, by process id. Exit code 0 if
# every check passed, and if the history does not hold the previous version (a shallow clone).
# Usage: mixed-versions.sh; PLANTAINMUX_MIXED_DAEMONS is the number of daemons in each of two data centres: from 9 on, they
# tell each other through hubs.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PREVIOUS=${PLANTAINMUX_PREVIOUS:-9a2896993063} # 0bf6cfb, the one before, is checked with the variable
readonly START_PORT=${PLANTAINMUX_MIXED_PORT:-22300}
readonly PER_CENTRE=${PLANTAINMUX_MIXED_DAEMONS:-2}
readonly STREAM_CALLERS=4
readonly ORDER_CALLERS=2
readonly BALANCER_PERIOD=0.1 # seconds
readonly EVENTS=6            # of each stream of the stand-in
name=mixed-versions
git cat-file -e "$PREVIOUS^{commit}" 2>/dev/null || { echo "mixed-versions: the history does not hold $PREVIOUS; nothing to check"; exit 0; }
. scripts/lib.sh
old_knows_zones=$(git grep -l 'yaml:"zones"' "$PREVIOUS" -- internal/gateway || true)
trap stop_all EXIT

declare -A port_of centre_of version_of
daemons=()
expected=$(for event in $(seq "$EVENTS"); do printf 'id: %s\ndata: %s\n\n' "$event" "$event"; done)

is_ready() { curl --max-time 0.5 -sf -o /dev/null "http://${ready_of[$1]}/api/readiness"; }

# run_daemon NAME VERSION FIRST starts a daemon of a version ("old" or "new"). Versions up to 0bf6cfb know no zones.
run_daemon() {
  local daemon=$1 version=$2 first=$3 zones=""
  [ "$version" = old ] && [ -z "$old_knows_zones" ] || zones=$'zones: {"n": "north", "s": "south"}'
  platform_settings "$daemon" "${centre_of[$daemon]}" "${port_of[$daemon]}" "$first" "" "$zones" >"$work/$daemon.yaml"
  start "$daemon-$version" "$work/$version/plantainmuxd" --platform --settings "$work/$daemon.yaml"
  daemon_pid[$daemon]=$started
  version_of[$daemon]=$version
}

# replace VERSION NAME... stops daemons gracefully and starts others in their place, and waits for these to be ready.
replace() {
  local version=$1 daemon; shift
  for daemon in "$@"; do kill -TERM "${daemon_pid[$daemon]}"; done
  for daemon in "$@"; do
    wait "${daemon_pid[$daemon]}" || fail "$daemon did not stop cleanly"
    run_daemon "$daemon" "$version" false
  done
  for daemon in "$@"; do until_ok 15 "readiness of $daemon ($version)" is_ready "$daemon"; done
  until_ok 20 "streams after $*" more whole "$(($(lines whole) + 20))"
  until_ok 20 "orders after $*" more done "$(($(lines done) + 10))"
}

# balance keeps the list of daemons that were ready a moment ago.
balance() {
  local daemon
  while [ ! -e "$work/stop" ]; do
    : >"$work/ready.new"
    for daemon in "${daemons[@]}"; do if is_ready "$daemon"; then echo "${caller_of[$daemon]}" >>"$work/ready.new"; fi; done
    mv "$work/ready.new" "$work/ready"
    sleep "$BALANCER_PERIOD"
  done
}

# pick NUMBER prints the address of a ready daemon.
pick() {
  local ready
  mapfile -t ready <"$work/ready"
  [ "${#ready[@]}" -gt 0 ] && echo "${ready[$(($1 % ${#ready[@]}))]}"
}

# call ADDRESS PATH ID prints the body of an answer, then its status and Retry-After.
call() {
  curl --max-time 6 -s -w '\n%{http_code} %header{retry-after}' "http://$1$2" -H 'Host: x.example' -H "Request-Id: $3" -H 'Deadline-Ms: 4000' \
    -H 'Model: big' -H 'Authorization: Bearer k1' -d "body of $3" || echo "curl: $?"
}

stream_caller() {
  local number=0 address answer path
  while [ ! -e "$work/stop" ]; do
    number=$((number + 1))
    address=$(pick "$((number + $1))") || { sleep 0.1; continue; }
    path=/talk/x; [ $((number % 2)) -eq 0 ] || path=/home/x
    answer=$(call "$address" "$path" "stream-$1-$number")
    if [ "$answer" = "$expected"$'\n\n\n200 ' ]; then note whole "$address"; else note failed "$(date +%T.%N) $address $path stream-$1-$number: $answer"; fi
  done
}

order_caller() {
  local number=0 address answer
  while [ ! -e "$work/stop" ]; do
    number=$((number + 1))
    address=$(pick "$((number + $1))") || { sleep 0.1; continue; }
    answer=$(call "$address" /order/x "order-$1-$number")
    if grep -q "body=body of order-$1-$number\$" <<<"$answer" && [ "$(tail -n 1 <<<"$answer")" = "200 " ]; then
      note done "order-$1-$number"
    else
      note failed "$(date +%T.%N) $address order-$1-$number: $answer"
    fi
    sleep 0.05
  done
}

no_failures() { [ "$(lines failed)" -eq 0 ] || { head -n 5 "$work/failed"; fail "$(lines failed) requests failed $1"; }; }

echo "building $PREVIOUS and this version"
mkdir -p "$work/source" "$work/old" "$work/new"
git archive "$PREVIOUS" | tar -x -C "$work/source"
(cd "$work/source" && go build -o "$work/old/" ./cmd/plantainmuxd)
go build -o "$work/new/" ./cmd/plantainmuxd ./cmd/plantainfake

next_port; store=127.0.0.1:$port
start platform "$work/new/plantainfake" platform --listen "$store" --data-centre n --data-centre s --engines 7
until_ok 5 "start of the platform" curl --max-time 2 -s -o /dev/null "http://$store/"
for number in $(seq "$PER_CENTRE"); do
  for centre in n s; do
    daemon=$centre-$number
    daemons+=("$daemon")
    centre_of[$daemon]=$centre
    next_port; caller_of[$daemon]=127.0.0.1:$port
    next_port; ready_of[$daemon]=127.0.0.1:$port
    next_port; port_of[$daemon]=$port
  done
done
echo "starting ${#daemons[@]} daemons of $PREVIOUS"
for daemon in "${daemons[@]}"; do run_daemon "$daemon" old true; done
for daemon in "${daemons[@]}"; do until_ok 15 "readiness of $daemon" is_ready "$daemon"; done
serves() { call "${caller_of[$1]}" /talk/x "first-$1-$RANDOM" | grep -q "data: $EVENTS"; }
for daemon in "${daemons[@]}"; do until_ok 20 "a stream through $daemon" serves "$daemon"; done

for daemon in "${daemons[@]}"; do echo "${caller_of[$daemon]}"; done >"$work/ready"
balance & pids+=($!)
for number in $(seq "$STREAM_CALLERS"); do stream_caller "$number" & pids+=($!); done
for number in $(seq "$ORDER_CALLERS"); do order_caller "$number" & pids+=($!); done
until_ok 20 "the first streams" more whole 20
until_ok 20 "the first orders" more done 10
no_failures "with $PREVIOUS alone"

half=$((${#daemons[@]} / 2))
echo "replacing the first $half daemons by this version"
replace new "${daemons[@]:0:$((half / 2))}"
replace new "${daemons[@]:$((half / 2)):$((half - half / 2))}"
no_failures "while half of the daemons were replaced"

echo "killing the head of a group in each data centre while both versions run"
for centre in n s; do curl --max-time 5 -sf -X POST "http://$store/fake/kill-head?zone=$centre" || fail "no head in $centre"; done
until_ok 30 "streams after the kills" more whole "$(($(lines whole) + 60))"
for daemon in "${daemons[@]}"; do until_ok 20 "a stream through $daemon" serves "$daemon"; done
no_failures "while heads were killed with both versions"

echo "replacing the other daemons"
replace new "${daemons[@]:$half:$((half / 2))}"
replace new "${daemons[@]:$((half + half / 2))}"
no_failures "while the other half was replaced"

echo "taking the first $half daemons back to $PREVIOUS"
replace old "${daemons[@]:0:$((half / 2))}"
replace old "${daemons[@]:$((half / 2)):$((half - half / 2))}"
no_failures "while daemons were taken back"

touch "$work/stop"
sleep 1
no_failures "in all"
curl --max-time 10 -sf "http://$store/fake/runs" | grep " order-" | awk '{ runs[$2] += $3 } END { for (id in runs) print id, runs[id] }' | sort >"$work/runs"
[ -z "$(awk '$2 != 1' "$work/runs")" ] || fail "orders ran twice: $(awk '$2 != 1' "$work/runs" | head -n 5)"
[ -z "$(sort "$work/done" | comm -23 - <(cut -d' ' -f1 "$work/runs"))" ] || fail "orders were answered that did not run"
[ "$(lines runs)" -eq "$(lines done)" ] || fail "$(lines runs) orders ran, $(lines done) were answered"
if grep -lE 'invalid daemon registration|invalid gossip digest|unreadable|panic:|"level":"ERROR"' "$work"/*-old.log "$work"/*-new.log; then
  grep -hE 'invalid daemon registration|invalid gossip digest|unreadable|panic:|"level":"ERROR"' "$work"/*-old.log "$work"/*-new.log | head -n 5
  fail "a daemon could not read what another one sent"
fi
echo "mixed versions ok: $(lines whole) streams and $(lines done) orders through ${#daemons[@]} daemons, none failed, ${#pids[@]} processes"
