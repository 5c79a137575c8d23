#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review 2. Needs only the Go toolchain.
set -eu
cd "$(dirname "$0")/harness-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2 .
