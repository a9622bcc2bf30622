#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Takes about 45 s.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/review/target/standins" ] && [ -x "$root/target/release/tulipstall" ] || exit 2
ulimit -n "$(ulimit -H -n)" 2>/dev/null
[ "$(ulimit -n)" = unlimited ] || [ "$(ulimit -n)" -ge 6000 ] || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
"$root/review/target/standins" replaced-fleet "$root" "$folder" "$scratch"
