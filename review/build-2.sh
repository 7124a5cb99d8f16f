#!/bin/bash
# Builds the stand-ins of the cases in review/6 and on. The gateway comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
go build -o ../target/review-2/ ./rig2
