#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp "target/platform/lib/*" review/src-3/*.java
