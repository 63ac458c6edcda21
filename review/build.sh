#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs the JDK only; writes to target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
