#!/bin/bash
# Builds the stand-ins of all cases. Needs the Go toolchain alone: the module has no dependency.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../bin/rig .
