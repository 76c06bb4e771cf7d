#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. The build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_cases2
