#!/usr/bin/env bash
# Runs every command of docs/PROOFS.md, one after the other. Fails if one fails or runs no test.
set -uo pipefail
cd "$(dirname "$0")/.."

passed=0
failed=0
while IFS= read -r command; do
  if output=$(eval "$command -ginkgo.fail-on-empty -ginkgo.no-color" 2>&1); then
    passed=$((passed + 1))
    echo "ok      $command"
  else
    failed=$((failed + 1))
    echo "FAILED  $command"
    tail -n 30 <<<"$output"
  fi
done < <(grep -o '`go test [^`]*`' docs/PROOFS.md | tr -d '`' | sort -u)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
