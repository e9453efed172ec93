#!/bin/sh
# Builds the driver of the scripts: the store, the replicas and the callers that they use.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-driver review/driver/*.go
