#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.standins"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standins .
