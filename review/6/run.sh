#!/usr/bin/env bash
# See claim.txt. Build first: the build of deploy/system.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/primrosed" ] && [ -x "$root/target/review-2/standin2" ] || exit 2
exec "$root/target/review-2/standin2" -case 6 -root "$root" -record "$here/record.txt"
