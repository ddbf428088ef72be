#!/usr/bin/env bash
# Builds the stand-ins that the cases start into target/review. They need the Go
# toolchain and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
GOWORK=off GOFLAGS=-buildvcs=false go -C review/standin build -o ../../target/review/standin .
