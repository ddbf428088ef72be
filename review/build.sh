#!/usr/bin/env bash
# Builds the stand-ins that the cases start into target/review. They need the Go
# toolchain and its standard library only, and belong to no module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
output=$PWD/target/review/standin
cd review/standin
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o "$output" ./*.go
