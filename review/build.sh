#!/bin/sh
# Builds the stand-ins of the review's scripts: one test program without dependencies.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-buildvcs=false go test -c -o ../../target/review-rig .
