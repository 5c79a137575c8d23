#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-harness .
