#!/bin/sh
# Builds the stand-in that the scripts in review/6 to review/10 start. The deploy file's build command comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2/platform/*.go
