#!/usr/bin/env bash
# Runs the main class of a case: run-case.sh FOLDER CLASS. Needs the builds of deploy/build and review/build.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
source bin/find-jdk || exit 2
[ -x target/runtime/bin/java ] && [ -d target/review ] || { echo "Run deploy/build and review/build.sh first" >&2; exit 2; }
timeout -k 5 115 "$JAVA_HOME/bin/java" -XX:+UseSerialGC -Xmx512m -cp target/review "$2" "$1/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
