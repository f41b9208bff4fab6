#!/usr/bin/env bash
# Builds the stand-ins of the second review, which run.sh of the cases 6 to 10 start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -tags review2 -c -o target/standins2 ./review/standins2
