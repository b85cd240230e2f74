#!/usr/bin/env bash
# Runs the main job on stand-ins: two data centres, two daemons each, two models, one order service.
# Stops everything it started, by process id. Exit code 0 only if every step passed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly START_PORT=${PLANTAINMUX_DEMO_PORT:-21400}
name=demo
requests=0
. scripts/lib.sh
trap stop_all EXIT

go build -o bin/ ./cmd/...

echo "starting the platform's stand-ins"
start_platform

echo "starting 12 engines"
for centre in north south; do start_engines "$centre" 6; done

echo "starting 4 daemons"
daemons=(north-1 north-2 south-1 south-2)
start_daemons 200 "${daemons[@]}"

echo "publishing a configuration"
publish_sample north south
await_groups "${daemons[@]}"
./bin/plantainmux status --token "$TOKEN" --daemon "${admin_of[north-1]}" --daemon "${admin_of[north-2]}" \
  --daemon "${admin_of[south-1]}" --daemon "${admin_of[south-2]}"

echo "asking for a streamed answer"
answer=$(ask "${caller_of[north-1]}" swatch-draft 1 12); requests=$((requests + 1))
grep -q '^data: \[DONE\]' <<<"$answer" || fail "the streamed answer is not whole: $answer"
[ "$(grep -c '"content"' <<<"$answer")" -eq 13 ] || fail "the streamed answer has not 12 tokens and an end"

echo "placing an order, then repeating it on another daemon"
first=$(place "${caller_of[north-1]}" demo-1 -f);  requests=$((requests + 1))
second=$(place "${caller_of[south-2]}" demo-1 -f); requests=$((requests + 1))
[ "$first" = "$second" ] || fail "the repeat was answered otherwise: $first, $second"
runs=$(curl --max-time 10 -sf "http://$orders/runs" | grep -o '"key":"demo-1"' | wc -l)
[ "$runs" -eq 1 ] || fail "the order ran $runs times"

echo "killing one member of swatch-draft in north"
members=$(complete north-1 swatch-draft)
victim=${members##* }
kill "${engine_pid[$victim]}"
gone() { ! complete "$1" swatch-draft | grep -q "$victim"; }
until_ok 10 "the stop of the group with $victim" gone north-1
echo "the group with $victim stopped; waiting for its repair"
until_ok 30 "the repair of swatch-draft" complete north-1 swatch-draft
complete north-1 swatch-draft | grep -q "$victim" && fail "the repaired group still has $victim"
answer=$(ask "${caller_of[north-2]}" swatch-draft 2 12); requests=$((requests + 1))
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
for daemon in north-1 south-1; do
  groups=$((groups + $(./bin/plantainmux status --token "$TOKEN" --daemon "${admin_of[$daemon]}" | grep -c ': complete')))
done
echo "demo ok: $requests requests, $groups groups, ${#pids[@]} processes"
