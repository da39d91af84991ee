#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/release/wellcrank-edge ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
CASE_FOLDER=$folder TROUBLE=${TROUBLE:-1} timeout -k 2 115 "$program"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
