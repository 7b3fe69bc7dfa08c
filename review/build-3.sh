#!/usr/bin/env bash
# Builds the stand-ins of the third review. The project's own program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand-3 ./review/stand-3
