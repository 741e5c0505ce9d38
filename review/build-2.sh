#!/bin/sh
# Builds the stand-ins of the second review, which run.sh of its cases start: target/review-2/rig.
set -eu
cd "$(dirname "$0")/rig"
CGO_ENABLED=0 go build -o ../../target/review-2/rig .
