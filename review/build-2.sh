#!/bin/sh
# Builds the stand-in that the scripts in review/6 to review/10 start. Run it in the root of the repository.
set -e
go build -o target/review-standin-2 ./review/standin-2/platform/*.go
