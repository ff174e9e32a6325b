#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; only the standard library is used.
set -euo pipefail
cd "$(dirname "$0")/platform"
GOWORK=off GOFLAGS=-mod=readonly go build -trimpath -o ../bin/standin ./standin
