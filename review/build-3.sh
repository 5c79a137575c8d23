#!/usr/bin/env bash
# Builds the stand-ins and the cases of review 3. Needs only the Go toolchain.
set -eu
cd "$(dirname "$0")/harness-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3 .
