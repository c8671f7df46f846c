#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/rainpulley-edge && test -x bin/rainpulley-planner && test -x bin/rainpulley && test -x review/bin/rig ||
  { echo "build first: the line build of deploy/balancer.toml, then review/build.sh"; exit 2; }
exec review/bin/rig slowlist review/3/record.txt
