#!/bin/bash
# Builds the stand-ins of review/11 to review/15 into target/review-3.
set -euo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)

mkdir -p "$here/../target/review-3"
cd "$here/standin3"
GOWORK=off go build -o "$here/../target/review-3/drill" .
