#!/bin/bash
# Builds the stand-ins of the cases. The build of deploy/system.toml must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
