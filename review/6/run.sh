#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/standin2
if [ ! -x "$program" ] || [ ! -x "$root/target/primrosed" ]; then
  echo "build first: the line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec "$program" -case 6 -trouble=$trouble -root "$root" -record "$here/record.txt"
