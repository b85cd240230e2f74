#!/usr/bin/env bash
# The head of a group is cut off from the store and from the daemons for 8 s: new connections to it are refused, those
# that are open go on, and so does its group. With TROUBLE=0 it is not cut off. Up to five rounds, each with a new
# deployment, until one breaks the rule. Exit code 1: a member joined another group while the head was open.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin2/lib.sh"

readonly cut=8s rounds=5
for _ in $(seq "$rounds"); do
  start_deployment 13
  sleep 3
  head=$(large_head) || cannot_run "the group has gone before the disruption"
  if [ "$TROUBLE" != 0 ]; then
    note cut "$head" "new connections are refused, no entry reaches the store"
    http POST "${address_of[$head]}" "/standin/cut?for=$cut" || cannot_run "the engine does not answer"
  fi
  sleep 9
  end_round
  [ "$broken" -eq 0 ] && time_left || break
done
finish
