#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. Needs the Go toolchain alone: the module has no dependency.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off GOWORK=off go build -buildvcs=false -o ../bin/rig2 .
