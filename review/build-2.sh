#!/bin/sh
# Builds the stand-ins of the cases of the second review into review/bin. Run it from anywhere.
set -e
cd "$(dirname "$0")"
mkdir -p bin
cd standin-2/platform
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -trimpath -o ../../bin/standin2 .
