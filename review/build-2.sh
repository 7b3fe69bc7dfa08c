#!/usr/bin/env bash
# Builds the stand-in of the second review, which its scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand-2 ./review/stand-2
