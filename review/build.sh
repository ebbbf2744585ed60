#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go test -c -trimpath -o ../target/review .
