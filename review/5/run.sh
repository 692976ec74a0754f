#!/usr/bin/env bash
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standins ] && [ -x target/ospreyshedd ] || exit 2
exec review/bin/standins canary review/5
