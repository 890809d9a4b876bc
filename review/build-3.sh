#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. It needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
GOWORK=off go -C "$root/review/harness3" build -buildvcs=false -o "$root/target/review-harness3" .
