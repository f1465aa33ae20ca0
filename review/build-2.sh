#!/bin/sh
# Builds the stand-ins of the second review. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=review/standins-2/classes
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -d "$out" -cp target/dunlincroft.jar $(find review/standins-2/src -name '*.java' | sort)
