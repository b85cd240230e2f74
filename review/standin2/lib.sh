# Shared by the scripts of review/6 to review/10: a small deployment of three daemons in three data centres before
# a fabric domain of 8 model engines in the first, every one a process of its own on loopback. A script that sources
# this file sets `here` to its own folder. Everything that was started is ended by process id.

readonly daemon_program=target/plantainmuxd standin=target/review-2/standin2
readonly large=m-large small=m-small # models of 6 and 2 engines
readonly stall_ms=6000 stability_window_ms=3000
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
pids=() engines=() engine_flags=() fabric_flags=()
declare -A pid_of address_of callers_of ready_of
zones=(a b c)
readonly domain_zone=a # whose engines make the fabric domain
round=0 broken=0
: >"$here/record.txt"

# end_processes ends everything that was started.
end_processes() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  sleep 0.3
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; done
  pids=() engines=() engine_flags=() fabric_flags=()
}

stop_all() {
  local code=$?
  set +e
  end_processes
  [ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp -r "$work"/. "$KEEP_LOGS"/
  rm -rf "$work"
  exit "$code"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

cannot_run() { echo "the case cannot run: $*" >&2; exit 2; }
now_ms() { date +%s%3N; }

# note WHAT [ENGINE [DETAIL]] records an event of the script.
note() { printf '{"at_ms":%s,"engine":"%s","what":"%s","epoch":0,"old_epoch":0,"detail":"%s"}\n' "$(now_ms)" "${2:-}" "$1" "${3:-}" >>"$record"; }

# start NAME COMMAND... starts a process.
start() {
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

# await SECONDS WHAT COMMAND... repeats a command until it succeeds.
await() {
  local seconds=$1 what=$2; shift 2
  for _ in $(seq $((seconds * 10))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  cannot_run "$what not within ${seconds} s"
}

reached() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

# large_head prints the ID of the head of the large group.
large_head() { "$standin" head --model "$large" "${engine_flags[@]}"; }
# settled succeeds once each model has an open group, and the members of the large one have the other model at hand.
settled() { "$standin" head --model "$large" --staged "$small" "${engine_flags[@]}" && "$standin" head --model "$small" "${engine_flags[@]}"; }
is_ready() { http GET "$1" /api/readiness; }

write_config() {
  cat >"$work/config" <<JSON
{"version":3,"routes":[{"name":"ask","host":"redactor.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"target_gap_ms":250,"priority":1,"service":"redactor","max_attempts":2,"stream_resumption":true,"session_affinity":true},
{"name":"order","host":"almacen.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"almacen","max_attempts":2}],
"services":[{"name":"redactor","max_connections":404,"health_check_path":"/health","engine":{"slots":26,"kv_tokens":2470000,"stride":4,"chunk":512,"step_ms":6.45,"per_seq_ms":0.05,"context_per_k":0.01,"read_per_s":56100,"pairs_per_m":0.1,"form_ms":100,"loads_per_s":5.5,"loads_at_once":8,"report_lag_ms":100,"usual":{"prompt":700,"answer":60},"models":[{"name":"$large","size":6,"share":0.5,"pace":1,"load_s":16,"warm_s":1.6},{"name":"$small","size":2,"share":0.5,"pace":0.6,"load_s":12,"warm_s":1.1}]}},{"name":"almacen","max_connections":110,"health_check_path":"/health"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":60000},
"tenants":[{"name":"merchants","api_keys":["key-of-merchants"]}]}
JSON
}

# write_settings NODE ZONE CALLERS READY METRICS INTERNAL writes the settings of a daemon, as the template of the deploy file gives them.
write_settings() {
  cat >"$work/$1.yaml" <<YAML
node: "$1"
data_centre: "$2"
zones: {"a": "r", "b": "r", "c": "r"}
store: "$store"
first: true
listen: {callers: "$3", readiness: "$4", metrics: "$5", host: "127.0.0.1", first_port: $6, last_port: $6}
limits: {memory_mb: 284, cpu_share: 0.4, file_descriptors: 4100}
bounds:
  {grace_s: 8, stability_window_ms: $stability_window_ms, stall_ms: $stall_ms, configuration_ms: 2000, retry_share: 0.2, retry_slack: 134, retry_window_s: 10, load_window_s: 5, load_overshoot: 1.1}
YAML
}

# http METHOD ADDRESS PATH [BODY] makes a call of a stand-in and succeeds if it is answered with 200.
http() {
  local status
  exec 3<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: standin\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$1" "$3" "$(printf %s "${4:-}" | wc -c)" "${4:-}" >&3
  read -r _ status _ <&3
  exec 3>&-
  [ "$status" = 200 ]
}

take_port() { port=${ports[0]}; ports=("${ports[@]:1}"); }

# start_store begins a round: it starts the store with the operators' configuration.
start_store() {
  cd "$here/../.." || exit 2
  [ -x "$daemon_program" ] && [ -x "$standin" ] || cannot_run "run the build of the deploy file and review/build-2.sh first"
  round=$((round + 1))
  record=$work/events-$round
  : >"$record"
  rm -f "$work/traffic"
  mapfile -t ports < <("$standin" ports --count 30)
  [ "${#ports[@]}" -eq 30 ] || cannot_run "no free ports"
  take_port; store=127.0.0.1:$port
  write_config
  start store "$standin" store --listen "$store" --config "$work/config"
  await 5 "start of the store" reached "$store"
}

# start_domain starts the model engines of a fabric domain.
start_domain() {
  local number id
  for number in 1 2 3 4 5 6 7 8; do
    take_port
    id=i-$number
    engines+=("$id")
    address_of[$id]=127.0.0.1:$port
    engine_flags+=(--engine "$id=127.0.0.1:$port")
    fabric_flags+=(--fabric "$id=127.0.0.1:$port")
  done
  for id in "${engines[@]}"; do
    start "$id" "$standin" engine --id "$id" --listen "${address_of[$id]}" --store "$store" --zone "$domain_zone" --domain "$domain_zone-d0" --traffic "$work/traffic" --record "$record" \
      "${fabric_flags[@]}" --model "$large=16000,1600" --model "$small=12000,1100"
  done
}

# start_desks starts an engine of the plain service in each data centre.
start_desks() {
  local zone
  for zone in "${zones[@]}"; do
    take_port
    address_of[i-desk-$zone]=127.0.0.1:$port
    start "i-desk-$zone" "$standin" desk --id "i-desk-$zone" --listen "127.0.0.1:$port" --store "$store" --zone "$zone" --record "$record"
  done
}

# start_daemons starts a daemon in each data centre and waits until all are ready.
start_daemons() {
  local zone metrics
  for zone in "${zones[@]}"; do
    take_port; callers_of[$zone]=127.0.0.1:$port
    take_port; ready_of[$zone]=127.0.0.1:$port
    take_port; metrics=127.0.0.1:$port
    take_port
    write_settings "front-$zone-1" "$zone" "${callers_of[$zone]}" "${ready_of[$zone]}" "$metrics" "$port"
    start "front-$zone-1" env PLANTAINMUX_CONFIG="$work/front-$zone-1.yaml" "$daemon_program" --platform
  done
  for zone in "${zones[@]}"; do await 15 "readiness of the daemon in $zone" is_ready "${ready_of[$zone]}"; done
}

# start_callers SECONDS [FLAG...] begins the traffic, through all daemons.
start_callers() {
  local seconds=$1; shift
  touch "$work/traffic"
  start callers "$standin" callers --daemon "${callers_of[a]}" --daemon "${callers_of[b]}" --daemon "${callers_of[c]}" --for "${seconds}s" --record "$record" "$@"
}

# start_deployment begins a round with model engines, waits until there is a group of each model, and starts callers of
# streams for SECONDS.
start_deployment() {
  start_store
  start_domain
  start_daemons
  await 20 "a group of each model" settled
  start_callers "$1" --model "$large" --model "$small" --per-s 30
}

# end_round [CHECK...] ends the processes and checks what they recorded, for the rule TWO unless CHECK is another check.
end_round() {
  local code=0 zone
  [ "$#" -gt 0 ] || set -- check
  for zone in "${zones[@]}"; do kill -0 "${pid_of[front-$zone-1]}" 2>/dev/null || cannot_run "the daemon in $zone has ended"; done
  end_processes || true
  { echo "round $round, TROUBLE=$TROUBLE"; sort -t: -k2,2n "$record"; } >>"$here/record.txt"
  "$standin" "$@" --record "$record" | tee -a "$here/record.txt" || code=${PIPESTATUS[0]}
  echo "round $round, answers: $(grep -o '"detail":"[0-9]* *[^"]*\(events\|bytes\)"' "$record" | sort | uniq -c | sort -rn | head -n 4 | tr -s ' \n' ' ')" | tee -a "$here/record.txt"
  case $code in
    0) ;;
    1) broken=$((broken + 1)) ;;
    *) cannot_run "nothing to judge in round $round" ;;
  esac
}

# time_left succeeds while a further round fits into the time that a script may take.
time_left() { [ "$SECONDS" -lt 90 ]; }

# finish ends the script with the outcome of all rounds.
finish() {
  echo "rule broken in $broken of $round rounds" | tee -a "$here/record.txt"
  [ "$broken" -eq 0 ]
}
