#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs Go, and no network.
set -euo pipefail
cd "$(dirname "$0")/harness2"
GOWORK=off go build -buildvcs=false -o ../../target/review-harness-2 .
