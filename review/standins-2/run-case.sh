#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/release/wellcrank-edge ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
tmp=$(mktemp -d) || exit 2
child=
# Ends what is left if the program or this script is ended early.
clean_up() {
  [ -z "$child" ] || kill "$child" 2>/dev/null
  for file in "$tmp"/*.pid; do
    [ ! -f "$file" ] || kill -9 "$(cat "$file")" 2>/dev/null
  done
  rm -rf "$tmp"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
CASE_FOLDER=$folder CASE_TMP=$tmp TROUBLE=${TROUBLE:-1} timeout -k 2 115 "$program" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
