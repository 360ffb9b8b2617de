#!/bin/sh
# Runs one case: run-case.sh FOLDER-OF-THE-CASE PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
set -u
here=$1
ROOT=$(cd "$here/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
program=$ROOT/review/bin-2/$2
if [ -z "$RUN" ] || [ ! -x "$program" ]; then
    echo "cannot run: build with the deploy file's command and review/build-2.sh first"
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
RECORD=$here/record.txt
export ROOT RUN FOLDER RECORD
child=
finish() {
    [ -n "$child" ] && kill -KILL "$child" 2>/dev/null
    for file in "$FOLDER"/*.pid; do
        [ -e "$file" ] && kill -KILL "$(basename "$file" .pid)" 2>/dev/null
    done
    rm -rf "$FOLDER"
}
trap 'finish; exit 2' INT TERM HUP
"$program" &
child=$!
wait "$child"
code=$?
child=
finish
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
