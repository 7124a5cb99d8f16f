#!/usr/bin/env bash
# Builds every program that the scripts of the cases start beside the gateway: one for each
# case, with its clients, servers and store. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOPROXY=off go build -o bin/ ./...
