#!/bin/sh
# Builds the stand-ins of the cases. Run it from the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/stand"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-stand .
