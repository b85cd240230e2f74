#!/usr/bin/env bash
# Failures of whole processes under load, with real signals: three daemons are stopped in turn (SIGTERM, with SIGHUP before
# and after it), one is killed (SIGKILL), one is paused while a member is frozen (SIGSTOP), the log is paused, and all daemons
# are killed at once.
# Callers behind a balancer ask for streams and place orders all the while. The verdict comes from the callers' answers
# and from what the stand-ins recorded. At last processes-on-platform.sh does the same for an evacuation and a cold endpoint.
# Stops everything it started, by process id. Exit code 0 only if every check passed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly START_PORT=${PLANTAINMUX_PROCESSES_PORT:-21700}
readonly TOKENS=20           # of each answer
readonly STREAM_CALLERS=4
readonly ORDER_CALLERS=2
readonly ORDER_TRIES=40      # of one key, a quarter of a second apart
readonly DRAIN_NOTICE_MS=1000
readonly BALANCER_PERIOD=0.1 # seconds
readonly PAUSE=4             # seconds that a process is paused
name=processes
. scripts/lib.sh
trap stop_all EXIT

daemons=(north-1 north-2 north-3)

# balance keeps the list of daemons that were ready a moment ago.
balance() {
  local daemon
  while [ ! -e "$work/stop" ]; do
    : >"$work/ready.new"
    for daemon in "${daemons[@]}"; do
      if curl --max-time 0.5 -sf -o /dev/null "http://${admin_of[$daemon]}/readyz"; then echo "${caller_of[$daemon]}" >>"$work/ready.new"; fi
    done
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

# whole prints the fingerprint that the stand-in puts into each token, if an answer has every token of one fingerprint in
# order and its end.
whole() {
  grep -q '^data: \[DONE\]' <<<"$1" || return 1
  grep -oE '[0-9a-f]{16}-[0-9]+ ' <<<"$1" | awk -v tokens="$TOKENS" '
    { split($1, part, "-"); if (NR == 1) own = part[1]; if (part[1] != own || part[2] != NR - 1) bad = 1 }
    END { if (bad || NR != tokens) exit 1; print own }'
}

# stream_caller NUMBER asks for one streamed answer after another.
stream_caller() {
  local number=0 address answer mark
  while [ ! -e "$work/stop" ]; do
    number=$((number + 1))
    address=$(pick "$((number + $1))") || { sleep 0.1; continue; }
    answer=$(ask "$address" swatch-draft "$1-$number" "$TOKENS" || echo "curl failed: $?")
    if mark=$(whole "$answer"); then
      note whole "$mark"
    elif grep -q '^data: \[DONE\]' <<<"$answer"; then
      note wrong "$1-$number: $answer"
    else
      note cut "$(date +%T.%N) $address $1-$number: $(tail -c 300 <<<"$answer")"
    fi
  done
}

runs_of() { curl --max-time 10 -sf "http://$orders/runs" | grep -o "\"key\":\"$1\"" | wc -l; }

# order_caller NUMBER places one order after another, and repeats each until its answer is final.
order_caller() {
  local number=0 key address answer try
  while [ ! -e "$work/stop" ]; do
    number=$((number + 1))
    key=order-$1-$number
    for try in $(seq "$ORDER_TRIES"); do
      address=$(pick "$((number + try))") || { sleep 0.1; continue; }
      answer=$(place "$address" "$key" -o /dev/null -w '%{http_code} %header{plantainmux-outcome} %header{retry-after}') || true
      case "$answer" in
        "200 done"*) note done "$key"; continue 2 ;;
        *" not_run "*)
          note not_run "$(date +%s) $key $answer"
          [ "$(runs_of "$key")" -eq 0 ] || note wrong "$key was refused as not run, but ran" ;;
      esac
      sleep 0.25
    done
    note unsettled "$key"
  done
}

no_cuts() {
  [ "$(lines cut)" -eq "$1" ] || { tail -n 3 "$work/cut"; fail "$2 cut off requests"; }
}

faults() { curl --max-time 5 -sf -o /dev/null "http://${engine_address[$1]}/faults" -d "{\"frozen\":$2}"; }

go build -o bin/ ./cmd/...
echo "starting 4 stand-ins of the platform, 8 engines and 3 daemons"
start_platform
start_engines north 8
start_daemons "$DRAIN_NOTICE_MS" "${daemons[@]}"
publish_sample north
await_groups "${daemons[@]}"

for daemon in "${daemons[@]}"; do echo "${caller_of[$daemon]}"; done >"$work/ready"
balance & pids+=($!)
for number in $(seq "$STREAM_CALLERS"); do stream_caller "$number" & pids+=($!); done
for number in $(seq "$ORDER_CALLERS"); do order_caller "$number" & pids+=($!); done
until_ok 20 "the first answers" more whole 20
until_ok 20 "the first orders" more done 5

for daemon in "${daemons[@]}"; do
  echo "SIGHUP, SIGTERM and SIGHUP to $daemon, then a new one at its address"
  kill -HUP "${daemon_pid[$daemon]}"
  kill -TERM "${daemon_pid[$daemon]}"
  kill -HUP "${daemon_pid[$daemon]}"
  wait "${daemon_pid[$daemon]}" || fail "$daemon did not stop cleanly"
  start_daemon "$daemon"
  await_groups "$daemon"
  until_ok 20 "answers after $daemon" more whole "$(($(lines whole) + 10))"
done
no_cuts 0 "a planned stop"
[ "$(lines unsettled)" -eq 0 ] || fail "a planned stop left an order unsettled: $(cat "$work/unsettled")"

echo "SIGKILL to north-2, then a new one at its address"
kill -KILL "${daemon_pid[north-2]}"
wait "${daemon_pid[north-2]}" 2>/dev/null || true
until_ok 20 "answers without north-2" more whole "$(($(lines whole) + 40))"
start_daemon north-2
await_groups north-2
killed_cuts=$(lines cut)

echo "SIGSTOP to north-3 for ${PAUSE} s while a member of swatch-draft is frozen"
: >"$work/paused"
members=$(complete north-1 swatch-draft)
victim=${members%% *}
kill -STOP "${daemon_pid[north-3]}"
faults "$victim" true
sleep "$PAUSE"
kill -CONT "${daemon_pid[north-3]}"
until_ok 30 "a group without $victim" bash -c "./bin/plantainmux status --token $TOKEN --daemon ${admin_of[north-3]} | grep 'of swatch-draft .*: complete' | grep -qv '$victim'"
faults "$victim" false
until_ok 20 "answers after the pause" more whole "$(($(lines whole) + 20))"

echo "SIGSTOP to the log for ${PAUSE} s"
whole_before=$(lines whole); not_run_before=$(lines not_run); cuts_before=$(lines cut)
kill -STOP "$log_pid"
sleep "$PAUSE"
more whole "$((whole_before + 10))" || fail "no streams were answered while the log was paused"
kill -CONT "$log_pid"
more not_run "$not_run_before" || fail "no order was refused as not run while the log was paused"
no_cuts "$cuts_before" "the pause of the log"
until_ok 30 "orders after the pause of the log" more done "$(($(lines done) + 10))"

echo "SIGKILL to all daemons at once, then new ones"
before=$(place "${caller_of[north-1]}" kept -f) || fail "the order before the kill was not answered"
for daemon in "${daemons[@]}"; do kill -KILL "${daemon_pid[$daemon]}"; done
for daemon in "${daemons[@]}"; do wait "${daemon_pid[$daemon]}" 2>/dev/null || true; start_daemon "$daemon"; done
await_groups "${daemons[@]}"
after=$(place "${caller_of[north-2]}" kept -f) || fail "the repeat after the kill was not answered"
[ "$before" = "$after" ] || fail "the repeat was answered otherwise: $before, $after"
until_ok 30 "orders of new daemons" more done "$(($(lines done) + 10))"
until_ok 20 "answers of new daemons" more whole "$(($(lines whole) + 20))"

touch "$work/stop"
sleep 1
engines=()
for vm in "${!engine_address[@]}"; do engines+=(--engine "${engine_address[$vm]}"); done
./bin/plantainfake check --log "http://$log" --data-centre north "${engines[@]}" || fail "an invariant of groups was broken"
[ "$(lines wrong)" -eq 0 ] || { cat "$work/wrong"; fail "a caller got a wrong answer"; }
[ "$(sort "$work/whole" | uniq -d | wc -l)" -eq 0 ] || fail "two callers got the same answer"
curl --max-time 10 -sf "http://$orders/runs" | grep -o '"key":"[^"]*"' | cut -d'"' -f4 | sort >"$work/runs"
[ "$(uniq -d "$work/runs" | wc -l)" -eq 0 ] || fail "orders ran twice: $(uniq -d "$work/runs")"
[ "$(sort "$work/done" | comm -23 - "$work/runs" | wc -l)" -eq 0 ] || fail "orders were answered that did not run"
./bin/plantainmux evidence --log "http://$log" --data-centre north >"$work/evidence.txt" || { cat "$work/evidence.txt"; fail "the evidence shows a breach"; }

echo "processes ok: $(lines whole) whole streams, $killed_cuts cut by the killed daemon, $(($(lines cut) - killed_cuts)) cut or refused later," \
  "$(lines done) orders, $(lines not_run) refusals as not run, $(lines unsettled) unsettled"
PLANTAINMUX_PROCESSES_PORT=$((START_PORT + 100)) scripts/processes-on-platform.sh
