#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/10
program=target/review-2/case-10
if [ ! -x "$program" ] || [ ! -x target/release/onyxrock ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
"$program" "$case_folder" &
running=$!
# The program ends what it has started. Where it is cut off, the rest is ended here.
cut_off() {
    kill -KILL "$running" 2>/dev/null
    while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$CASE_TMP/processes"
    sleep 1
    rm -rf "$CASE_TMP"
    exit 2
}
trap cut_off INT TERM HUP
wait "$running"
code=$?
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
