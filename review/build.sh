#!/usr/bin/env bash
# Builds the stand-ins of the cases. The deploy file's build command comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/platform/*.go
