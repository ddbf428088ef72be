#!/usr/bin/env bash
# Usage: demo.sh [agreca|adunni]
# Starts the processes of a user's services, runs a load with faults and a
# rolling restart on baseline and product, prints one table and writes
# OUT/report.html. Fails if a figure of the product that must be zero isn't.
set -euo pipefail
cd "$(dirname "$0")/.."

MEMBER=${1:-agreca}
OUT=${OUT:-out}
BIN=${BIN:-bin}
WORK=$(mktemp -d)
DIR="$WORK/$MEMBER"
# shellcheck source=scripts/processes.sh
. scripts/processes.sh

cleanup() {
  stop_all
  rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# rolling_restart restarts one instance after another, each once the previous one
# is ready.
rolling_restart() {
  local id health begin
  while read -r id health <&4; do
    begin=$SECONDS
    stop "$id"
    start_instance "$id"
    wait_for "$READY_STEPS" "$id to be ready" http_ok "$health" /readyz
    echo "event=instance_restarted id=$id seconds=$((SECONDS - begin))"
  done 4<"$DIR/instances.txt"
}

mkdir -p "$OUT"
"$BIN/primrosefake" workload generate --workload "$MEMBER" "$DIR"
start_system

mkfifo "$DIR/load.out"
"$BIN/primrosefake" load "$DIR" --out "$OUT/$MEMBER.json" >"$DIR/load.out" &
PIDS[load]=$!

# The restart runs in this shell, so that PIDS has the new processes for the
# cleanup.
while IFS= read -r line; do
  echo "$line"
  case $line in
    "event=restart_wanted system=product "*) rolling_restart ;;
  esac
done <"$DIR/load.out"

status=0
wait "${PIDS[load]}" || status=$?
unset "PIDS[load]"

if [ -f "$OUT/$MEMBER.json" ]; then
  "$BIN/primrosefake" report "$OUT/$MEMBER.json" --html "$OUT/report.html"
  echo "report: $OUT/report.html"
fi
exit "$status"
