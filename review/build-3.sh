#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -tags review3 -c -o target/review3-standins ./review/standins3
