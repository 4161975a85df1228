#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/src-2/*.java
