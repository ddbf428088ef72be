#!/usr/bin/env bash
# Runs the bench workloads on product and baseline and writes OUT/bench.md.
set -euo pipefail
cd "$(dirname "$0")/.."

OUT=${OUT:-out}
BIN=${BIN:-bin}
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

mkdir -p "$OUT/bench"

# run_group GENERATED WORKLOAD... generates the workload GENERATED, starts its
# processes and runs the load of each WORKLOAD on them.
run_group() {
  local generated=$1 name
  shift
  DIR="$WORK/$generated"
  "$BIN/primrosefake" workload generate --workload "$generated" "$DIR"
  start_system
  for name in "$@"; do
    echo "== $name"
    # The load fails if a figure that must be zero isn't. The table shows it, and
    # the other workloads still run.
    "$BIN/primrosefake" load "$DIR" --workload "$name" --direct --pid "$(instance_pids)" \
      --out "$OUT/bench/$name.json" || echo "$name: failed"
  done
  stop_all
}

# BENCH_20 and BENCH_59 list the workloads to run; an empty list runs none.
read -r -a bench_20 <<<"${BENCH_20-bench-20 bench-20-no-stragglers bench-20-dead bench-20-silent bench-20-dead-half bench-20-silent-half capacity overload}"
read -r -a bench_59 <<<"${BENCH_59-bench-59 bench-59-no-stragglers bench-59-dead bench-59-silent}"

rm -f "$OUT"/bench/*.json
[ ${#bench_20[@]} -eq 0 ] || run_group bench-20 "${bench_20[@]}"
[ ${#bench_59[@]} -eq 0 ] || run_group bench-59 "${bench_59[@]}"

files=()
for name in "${bench_20[@]}" "${bench_59[@]}"; do
  [ -f "$OUT/bench/$name.json" ] && files+=("$OUT/bench/$name.json")
done
"$BIN/primrosefake" report "${files[@]}" --markdown "$OUT/bench.md"
cat "$OUT/bench.md"
