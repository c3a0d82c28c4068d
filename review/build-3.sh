#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The entry program comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
