#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cases=$root/target/review/review_cases
program=$root/target/heatherplank
if [ ! -x "$cases" ] || [ ! -x "$program" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$cases" foreign-ping-drain "$program" "$root" "$folder" \
  "$here/record.txt" "${TROUBLE:-1}"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
