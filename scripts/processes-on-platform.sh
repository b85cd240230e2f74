#!/usr/bin/env bash
# An evacuation and a cold endpoint under load, with three daemons as processes before the stand-in of the users' platform,
# in the data centres n and s. The endpoints count what reaches them: nothing from 5 s after a data centre is evacuated to
# the end of the evacuation, and in no second more than an endpoint takes that restarts cold. Called by processes.sh.
# Stops everything it started, by process id. Exit code 0 only if every check passed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly START_PORT=${PLANTAINMUX_PROCESSES_PORT:-21800}
readonly EVACUATION_BOUND_MS=5000 # from the write until it is in force everywhere (bounds.evacuation_ms)
readonly EVACUATED=8              # seconds from the write to the deletion
readonly EVENTS=6                 # of each stream of the stand-in
readonly READS_PER_S=60           # of plain requests, at each daemon: each endpoint gets more than a cold one takes
readonly COLD_MS=3000 COLD_PER_S=23
readonly COLD_BOUND=39            # 23 x 1.5 + 5, in any second
readonly DOWN_MS=1000             # from the end of the endpoint's process to the start of the next
readonly FAILED_SHARE=50          # one plain request of so many may fail while an endpoint restarts, by the users' bound on failures
name=processes-on-platform
. scripts/lib.sh
trap stop_all EXIT

daemons=(n-1 n-2 s-1)
fake() { curl --max-time 10 -sf "http://$store/fake/$1" "${@:2}"; }
is_up() { curl --max-time 0.5 -sf -o /dev/null "http://${ready_of[$1]}/api/readiness"; }

# stream_caller DAEMON asks for one stream after another.
stream_caller() {
  local number=0 answer
  while [ ! -e "$work/stop" ]; do
    number=$((number + 1))
    answer=$(curl --max-time 6 -s -w '\n%{http_code}' "http://${caller_of[$1]}/talk/x" -H 'Host: x.example' -H "Request-Id: $1-$number" \
      -H 'Deadline-Ms: 4000' -H 'Model: big' -H 'Authorization: Bearer k1' -d "stream $number of $1" || echo "curl: $?")
    if grep -q "^data: $EVENTS\$" <<<"$answer" && [ "$(tail -n 1 <<<"$answer")" = 200 ]; then note streams "$1"; else note failed_streams "$(date +%T.%N) $1-$number: $(tail -n 1 <<<"$answer")"; fi
  done
}

# read_caller DAEMON sends plain requests at a constant rate, each to a path of its own, as equal ones count as repeats.
read_caller() {
  exec stdbuf -oL curl --max-time 3 -s -o /dev/null --rate "$READS_PER_S/s" -w "%{http_code} $1 %{num_connects} %{time_total}\n" -H 'Host: x.example' -H "Request-Id: read-$1" \
    -H 'Deadline-Ms: 2000' -H 'Authorization: Bearer k1' "http://${caller_of[$1]}/read/[1-100000]" >"$work/reads-$1"
}

# arrived FIELD VALUE FROM TO prints how many requests reached a data centre (field 1) or an endpoint (2) in a period, and
# how many of these in its busiest second. Times are in Unix milliseconds.
arrived() {
  fake arrivals | awk -v field="$1" -v value="$2" -v from="$3" -v to="$4" '$field == value && $3 >= from && $3 < to { print $3 }' | sort -n | awk '
    { at[NR] = $1; while (at[NR] - at[first + 1] >= 1000) first++; if (NR - first > most) most = NR - first }
    END { print NR + 0, most + 0 }'
}

now() { date +%s%3N; }

# reached FIELD VALUE COUNT FROM succeeds once more than COUNT requests have arrived since a time.
reached() { local all; read -r all _ < <(arrived "$1" "$2" "$4" "$(now)"); [ "$all" -gt "$3" ]; }

# busier FROM succeeds once n-desk has got more in a second since a time than it takes while it is cold.
busier() { local most; read -r _ most < <(arrived 2 n-desk "$1" "$(now)"); [ "$most" -gt "$COLD_BOUND" ]; }

go build -o bin/ ./cmd/plantainmuxd ./cmd/plantainfake
next_port; store=127.0.0.1:$port
start platform ./bin/plantainfake platform --listen "$store" --data-centre n --data-centre s --engines 5
until_ok 5 "start of the platform" curl --max-time 2 -s -o /dev/null "http://$store/"
fake operators/config | sed -e 's/"version":1/"version":2/' -e "s/{\"name\":\"desk\"}/{\"name\":\"desk\",\"cold_start_s\":$((COLD_MS / 1000)),\"cold_per_s\":$COLD_PER_S}/" \
  -e 's/"routes":\[/&{"name":"read","host":"x.example","path_prefix":"\/read\/","kind":"safe","timeout_ms":3000,"target_latency_ms":400,"service":"desk","max_attempts":3},/' >"$work/config"
grep -q '"cold_per_s".*' "$work/config" && grep -q '"read"' "$work/config" || fail "the configuration of the stand-in is not as expected"
fake operators/config -X PUT --data-binary "@$work/config" >/dev/null
echo "starting ${#daemons[@]} daemons on the users' platform"
for daemon in "${daemons[@]}"; do
  next_port; caller_of[$daemon]=127.0.0.1:$port
  next_port; ready_of[$daemon]=127.0.0.1:$port
  next_port
  platform_settings "$daemon" "${daemon%-*}" "$port" true \
    "evacuation_ms: $EVACUATION_BOUND_MS, cold_overshoot: 1.5, cold_slack: 5" >"$work/$daemon.yaml"
  start "$daemon" ./bin/plantainmuxd --platform --settings "$work/$daemon.yaml"
done
for daemon in "${daemons[@]}"; do until_ok 15 "readiness of $daemon" is_up "$daemon"; done
for daemon in "${daemons[@]}"; do
  until_ok 20 "a stream through $daemon" bash -c "curl --max-time 5 -s http://${caller_of[$daemon]}/talk/x -H 'Host: x.example' -H 'Request-Id: f-$daemon' -H 'Deadline-Ms: 4000' -H 'Model: big' -H 'Authorization: Bearer k1' -d first | grep -q 'data: $EVENTS'"
done
for daemon in "${daemons[@]}"; do
  stream_caller "$daemon" & pids+=($!)
  stream_caller "$daemon" & pids+=($!)
  read_caller "$daemon" & pids+=($!)
done
began=$(now)
for centre in n s; do until_ok 20 "requests in $centre" reached 1 "$centre" 150 "$began"; done

echo "evacuating s for ${EVACUATED} s"
written=$(fake operators/evacuate/s -X PUT -d '{}')
sleep "$EVACUATED"
deleted=$(fake operators/evacuate/s -X DELETE)
read -r before _ < <(arrived 1 s "$((written - 2000))" "$written")
read -r learning _ < <(arrived 1 s "$written" "$((written + EVACUATION_BOUND_MS))")
read -r during _ < <(arrived 1 s "$((written + EVACUATION_BOUND_MS))" "$deleted")
read -r elsewhere _ < <(arrived 1 n "$((written + EVACUATION_BOUND_MS))" "$deleted")
[ "$before" -gt 20 ] || fail "only $before requests reached s in the 2 s before its evacuation"
[ "$during" -eq 0 ] || fail "$during requests reached s while it was evacuated"
[ "$elsewhere" -gt 50 ] || fail "only $elsewhere requests reached n while s was evacuated"
until_ok 10 "requests in s after the evacuation" reached 1 s 20 "$deleted"
[ "$(lines failed_streams)" -eq 0 ] || { head -n 5 "$work/failed_streams"; fail "$(lines failed_streams) streams failed with an evacuation"; }
unanswered=$(cat "$work"/reads-* | grep -vc "^200 " || true)
[ "$unanswered" -eq 0 ] || { cat "$work"/reads-* | grep -v "^200 " | head -n 5; fail "$unanswered plain requests failed with an evacuation"; }

sleep 4 # endpoints count as cold for a while after an evacuation
warm_from=$(now)
sleep 2
read -r _ warm < <(arrived 2 n-desk "$warm_from" "$(now)")
[ "$warm" -gt "$COLD_BOUND" ] || fail "n-desk gets $warm requests a second while it is warm; a bound of $COLD_BOUND shows nothing"
echo "restarting n-desk cold, after ${DOWN_MS} ms without it"
started=$(fake "restart?endpoint=n-desk&down_ms=$DOWN_MS&cold_ms=$COLD_MS" -X POST)
ended=$((started + COLD_MS))
until_ok 10 "more requests at n-desk once it is warm" busier "$ended"
read -r all cold < <(arrived 2 n-desk "$started" "$ended")
[ "$cold" -le "$COLD_BOUND" ] || fail "$cold requests reached n-desk in a second while it was cold; $COLD_BOUND are allowed"
[ "$all" -ge "$COLD_PER_S" ] || fail "only $all requests reached n-desk while it was cold, less than it takes in a second"

touch "$work/stop"
sleep 0.5
unanswered=$(cat "$work"/reads-* | grep -vc "^200 " || true)
answered=$(cat "$work"/reads-* | grep -c "^200 ")
[ $((unanswered * FAILED_SHARE)) -le "$answered" ] || { cat "$work"/reads-* | grep -v "^200 " | head -n 5; fail "$unanswered of $((unanswered + answered)) plain requests failed"; }
! grep -hE 'panic:|"level":"ERROR"' "$work"/*.log || fail "a daemon logged an error"
echo "processes on the platform ok: $before requests reached s in the 2 s before its evacuation, $learning in the ${EVACUATION_BOUND_MS} ms after it, none from then on, $elsewhere n;" \
  "at most $cold a second ($all in all) reached n-desk while it was cold, $warm before; $(lines streams) streams, $(lines failed_streams) failed; $answered plain requests, $unanswered failed"
