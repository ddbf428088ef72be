#!/usr/bin/env bash
# Measures the control overhead and the propagation of changes for several sizes
# of the fleet, without load, and prints one table row for each size.
#
# SIZES lists "INSTANCES:DOMAINS:REGIONS:SERVICES:SHARDS:CONNECTIONS". MEASURE holds
# flags for "primrosefake fleet measure".
set -euo pipefail
cd "$(dirname "$0")/.."

OUT=${OUT:-out}
BIN=${BIN:-bin}
SIZES=${SIZES:-9:3:1:2:20:25 30:6:2:2:20:25 60:6:2:2:20:25 120:6:2:2:20:25}
MEASURE=${MEASURE:---changes 30 --settle 15s --window 20s}
DIR=""
WORK=$(mktemp -d)
# shellcheck source=scripts/processes.sh
. scripts/processes.sh

cleanup() {
  stop_all
  rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

mkdir -p "$OUT/control"
echo "| instances | searchers | CPU % | max | MB | max | control B/s | max | store calls/s | watches | spread p50 / p99 / worst ms | failed | missing | reverts |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for size in $SIZES; do
  IFS=: read -r instances domains regions services shards connections <<<"$size"
  DIR="$WORK/$instances-$services-$shards"
  "$BIN/primrosefake" fleet workload --instances "$instances" --failure-domains "$domains" --regions "$regions" \
    --services "$services" --shards "$shards" --connections "$connections" >"$WORK/workload.json"
  "$BIN/primrosefake" workload generate --workload "$WORK/workload.json" "$DIR" >/dev/null
  start_system >/dev/null
  # shellcheck disable=SC2086 # MEASURE holds several arguments.
  "$BIN/primrosefake" fleet measure "$DIR" --pid "$(instance_pids)" $MEASURE \
    --out "$OUT/control/$instances-$services-$shards.json"
  stop_all
done
