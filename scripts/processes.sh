# Functions that start the processes of a run, wait until they are ready, and
# end them by process id. Sourced by the other scripts, which set BIN and DIR.
# shellcheck shell=bash

# PIDS maps the name of a running process to its process id.
declare -A PIDS=()

# Timeouts, in steps of POLL_SECONDS.
readonly POLL_SECONDS=0.1
readonly READY_STEPS=200
readonly STOP_STEPS=150

# start NAME COMMAND... starts a process with its output in DIR/NAME.log.
start() {
  local name=$1
  shift
  : >>"$DIR/$name.log"
  "$@" >>"$DIR/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# alive NAME succeeds while the process runs.
alive() {
  kill -0 "${PIDS[$1]}" 2>/dev/null
}

# wait_for STEPS WHAT COMMAND... polls COMMAND until it succeeds, at most STEPS times.
wait_for() {
  local steps=$1 what=$2
  shift 2
  for ((i = 0; i < steps; i++)); do
    "$@" && return 0
    sleep "$POLL_SECONDS"
  done
  echo "timed out waiting for $what" >&2
  return 1
}

# listening NAME ROLE succeeds once the process has logged that it listens, and ends
# the script if the process has exited.
listening() {
  alive "$1" || { echo "$1 ended early; its log:" >&2; tail -n 5 "$DIR/$1.log" >&2; exit 1; }
  grep -q "event=listening role=$2" "$DIR/$1.log"
}

# http_ok ADDRESS PATH succeeds if a GET is answered with status 200.
http_ok() {
  local status
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&3
  read -r _ status _ <&3 || status=0
  exec 3<&- 3>&-
  [ "$status" = 200 ]
} 2>/dev/null

# ended NAME succeeds once the process has exited.
ended() { ! alive "$1"; }

# stop NAME sends SIGTERM to a process and waits for it; a process that doesn't
# exit in time is killed.
stop() {
  local name=$1
  kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  if ! wait_for "$STOP_STEPS" "$name to stop" ended "$name"; then
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  fi
  wait "${PIDS[$name]}" 2>/dev/null || true
  unset "PIDS[$name]"
}

# stop_all stops all running processes concurrently.
stop_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!PIDS[@]}"; do
    stop "$name"
  done
}

start_instance() {
  start "$1" "$BIN/primrosed" run "$DIR/$1.json"
}

# start_system starts the platform, the searchers, the fault proxy, the
# instances and the balancer, and creates the configuration.
start_system() {
  local id health
  start platform "$BIN/primrosefake" platform --address "$(json_string platform)"
  start searchers "$BIN/primrosefake" searchers "$DIR/searchers.json"
  if grep -q '"listen"' "$DIR/links.json"; then
    start faultproxy "$BIN/primrosefake" faultproxy "$DIR/links.json"
    wait_for "$READY_STEPS" "the fault proxy" listening faultproxy control
  fi
  wait_for "$READY_STEPS" "the platform" listening platform platform
  wait_for "$READY_STEPS" "the searchers" listening searchers control
  "$BIN/primrosefake" workload register "$DIR"
  while read -r id health; do
    start_instance "$id"
  done <"$DIR/instances.txt"
  while read -r id health; do
    wait_for "$READY_STEPS" "$id" http_ok "$health" /livez
  done <"$DIR/instances.txt"
  "$BIN/primrosefake" workload apply "$DIR"
  while read -r id health; do
    wait_for "$READY_STEPS" "$id to be ready" http_ok "$health" /readyz
  done <"$DIR/instances.txt"
  start balancer "$BIN/primrosefake" balancer --address "$(json_string balancer_listen)" \
    --control-address "$(json_string balancer_control)" --backends "$DIR/backends.json"
  wait_for "$READY_STEPS" "the balancer" listening balancer balancer
}

# json_string KEY prints the string value of a key of topology.json.
json_string() {
  sed -n "s/^  \"$1\": \"\(.*\)\",\{0,1\}\$/\1/p" "$DIR/topology.json"
}

# instance_pids prints the process ids of the instances, comma-separated.
instance_pids() {
  local id health list=""
  while read -r id health; do
    list+="${list:+,}${PIDS[$id]}"
  done <"$DIR/instances.txt"
  echo "$list"
}
