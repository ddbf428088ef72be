#!/bin/bash
# Builds the stand-in that the scripts of review/11 to review/14 start into target/review-3. It needs
# the Go toolchain and its standard library only, and belongs to no module.
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
output=$PWD/target/review-3/drill
cd review/standin3
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o "$output" ./*.go
