#!/usr/bin/env bash
# Builds the stand-ins of all cases with the JDK alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/find-jdk
rm -rf target/review
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 "$JAVA_HOME/bin/javac" -Xlint:all -d target/review
cp review/rig/wire.properties target/review/rig/
