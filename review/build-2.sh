#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 in target/review-2, with the JDK alone.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/scripts/jdk.sh"
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
javac -Xlint:all -d "$root/target/review-2" "$root"/review/java-2/*.java
