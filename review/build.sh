#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. The daemon is built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
