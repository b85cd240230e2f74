#!/usr/bin/env bash
# Writes the messages of the previous version that the specs of mixed versions read: builds them with the types of that
# version, from the repository's history, and writes them to internal/*/testdata/previous_version.hex. Needs that history.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PREVIOUS=${PLANTAINMUX_PREVIOUS:-0bf6cfb}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

git cat-file -e "$PREVIOUS^{commit}" 2>/dev/null || { echo "previous messages: the history does not hold $PREVIOUS; nothing written"; exit 0; }
git archive "$PREVIOUS" | tar -x -C "$work"
for package in gossip ledger forward peerlog; do
  cp "internal/$package/testdata/previous_version_test.go.txt" "$work/internal/$package/previous_version_test.go"
  (cd "$work" && go test -count=1 -v -run '^TestPreviousVersionMessages$' "./internal/$package") >"$work/out"
  grep -E '^[a-z]+ [0-9a-f]+$' "$work/out" | sort >"internal/$package/testdata/previous_version.hex"
  echo "$package: $(wc -l <"internal/$package/testdata/previous_version.hex") messages"
done
