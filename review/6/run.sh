#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. The program ends itself within 118 seconds.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for file in target/dunlincroft.jar review/standins-2/classes/rig/CaseReserve.class; do
  [ -f "$file" ] || { echo "$file is missing: build first" >&2; exit 2; }
done
exec java -cp review/standins-2/classes:target/dunlincroft.jar rig.CaseReserve "$here/record.txt" .
