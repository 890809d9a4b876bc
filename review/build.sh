#!/bin/sh
# Builds the program that plays the cases: the callers, the backend servers and the
# platform's store are small stand-ins in it. It needs the Go toolchain only.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/harness .
