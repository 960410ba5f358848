#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/find-jdk
rm -rf target/review-2
mkdir -p target/review-2
mapfile -t sources < <(find review/rig2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
"$JAVA_HOME/bin/javac" -encoding UTF-8 --release 25 -d target/review-2 "${sources[@]}"
cp review/rig2/names.properties target/review-2/review2/rig/
