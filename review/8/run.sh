#!/usr/bin/env bash
# The store loses the answer to one heartbeat of an engine and carries it out 5.9 s later. Meanwhile the engine writes
# further heartbeats and leaves: its entry is removed, and it serves on for a while. With TROUBLE=0 the heartbeat is
# answered and carried out at once. Exit code 1: orders reach the engine later than drain_ms after the store has
# acknowledged that it is gone.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin2/lib.sh"

readonly drain_ms=2000 late=5900ms leaving=i-desk-a
start_store
start_desks
start_daemons
start_callers 18 --per-s 60
sleep 3
if [ "$TROUBLE" != 0 ]; then
  http POST "$store" "/standin/late/$leaving?by=$late" || cannot_run "the store stand-in does not answer"
  await 3 "a heartbeat without an answer" grep -q '"entry not answered"' "$record"
fi
sleep 3.2 # the store is stable again, and the engine has written further entries
http POST "${address_of[$leaving]}" /standin/leave || cannot_run "the engine does not answer"
http DELETE "$store" "/entries/$leaving" || cannot_run "the store stand-in does not answer"
note gone "$leaving"
sleep 9
end_round gone --drain-ms "$drain_ms"
finish
