#!/bin/sh
# Plays the case on loopback addresses in about 55 seconds. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
daemon=$root/target/waxwingslipd standin=$root/target/review-standin-3
[ -x "$daemon" ] && [ -x "$standin" ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
cd "$root" || exit 2
exec "$standin" lasting-beside-short "$daemon" "$here/record.txt"
