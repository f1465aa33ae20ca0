#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec timeout -k 2 118 java -cp review/standins-2/classes:target/dunlincroft.jar rig.CaseReserve "$here/record.txt" .
