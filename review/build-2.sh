#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/8 start into target/review-2. It needs the
# Go toolchain and its standard library only, and belongs to no module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
output=$PWD/target/review-2/standin2
cd review/standin2
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o "$output" ./*.go
