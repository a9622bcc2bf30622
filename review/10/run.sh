#!/bin/sh
# Plays the case against the dispatchers that the deploy file starts: exit 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, review/build-2.sh.
# Takes about 105 s.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
[ -x target/review-2/cases-2 ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
exec target/review-2/cases-2 crowded-discovery "$folder" "${TROUBLE:-1}"
