#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 9 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/bed ./review/bed
