#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs the build of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac --release 17 -cp "target/platform/lib/*" -d review/target/classes review/src/*.java
