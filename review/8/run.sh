#!/usr/bin/env bash
# Plays the case "draining-host" of the stand-ins; see claim.txt. Needs the build of
# the deploy file and review/build-2.sh. Exit codes: 0 the rule held, 1 it was
# broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
world=$root/target/review-2/review_world
program=$root/target/heatherplank
[ -x "$world" ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE="${TROUBLE:-1}" timeout -k 5 110 "$world" draining-host "$program" "$folder" "$here/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
