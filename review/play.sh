#!/usr/bin/env bash
# Plays a case: play.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# FOLDER/record.txt tells what was sent, answered and run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -x "$folder/case" ] && [ -x target/hornbeamd ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
"$folder/case" "$folder" target/hornbeamd "$temporary" & # ends its instances with itself
case=$!
trap 'kill "$case" 2>/dev/null' TERM INT
wait "$case"
code=$?
grep -hE 'result:' "$folder/record.txt"
rm -rf "$temporary"
[ "$code" -le 1 ] || code=2
exit "$code"
