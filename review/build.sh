#!/usr/bin/env bash
# Builds the stand-ins of all scripts. Needs the result of the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/*.java
