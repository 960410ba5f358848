#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/find-jdk
rm -rf target/review-3
mkdir -p target/review-3
mapfile -t sources < <(find review/rig3 review/1[1-5] -name '*.java' 2>/dev/null)
"$JAVA_HOME/bin/javac" -d target/review-3 "${sources[@]}"
