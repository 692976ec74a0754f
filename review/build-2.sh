#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 9. The daemon is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
output="$(pwd)/target/review-2/standins"
cd review/.standins-2
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o "$output" .
