#!/bin/sh
# Builds the stand-ins of the second review's cases. The build of the deploy file comes before.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/stand review/stand/*.go
