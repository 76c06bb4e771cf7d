#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
