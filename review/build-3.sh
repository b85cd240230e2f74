#!/usr/bin/env bash
# Builds what the cases of review 3 start beside the programs of the deploy file: the stand-ins of the platform's store, engines
# and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/standin3
