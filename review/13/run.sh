#!/bin/bash
# Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)

if [ ! -x "$root/target/primrosed" ] || [ ! -x "$root/target/review-3/drill" ]; then
	echo "build first: the build of deploy/system.toml, and review/build-3.sh" >&2
	exit 2
fi

cd "$root" && exec "$root/target/review-3/drill" revoke target/primrosed "$here/record.txt"
