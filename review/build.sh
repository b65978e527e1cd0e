#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases in review/ into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/jdk.sh
rm -rf target/review
mkdir -p target/review
javac --release 21 -Xlint:all -d target/review review/java/*.java
