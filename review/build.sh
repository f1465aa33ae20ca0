#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with what the project's jar brings.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/classes
mkdir -p review/classes
javac -nowarn -d review/classes -cp target/dunlincroft.jar review/standins/review/*.java
