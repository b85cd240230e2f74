#!/usr/bin/env bash
# Runs every command of docs/PROOFS.md, a few at the same time. Fails if one fails or runs no test. Usage: proofs.sh [jobs].
set -uo pipefail
cd "$(dirname "$0")/.."

readonly JOBS=${1:-4}
results=$(mktemp)
trap 'rm -f "$results"' EXIT

# prove COMMAND runs one command and prints its verdict, with the end of its output if it failed.
prove() {
  local output
  if output=$(eval "$1 -ginkgo.fail-on-empty -ginkgo.no-color" 2>&1); then
    echo "ok      $1"
  else
    printf 'FAILED  %s\n%s\n' "$1" "$(tail -n 30 <<<"$output")"
  fi
}
export -f prove

grep -o '`go test [^`]*`' docs/PROOFS.md | tr -d '`' | sort -u | xargs -d '\n' -P "$JOBS" -I{} bash -c 'prove "$1"' _ {} | tee "$results"
passed=$(grep -c '^ok ' "$results")
failed=$(grep -c '^FAILED ' "$results")
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
