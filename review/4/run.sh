#!/bin/sh
# TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 5 110 target/release/examples/isolation "$folder"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
