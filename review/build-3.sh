#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/standins-3 ./review/.standins-3
