#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/2 ] || [ ! -x target/sequoiaroad ]; then
  echo "build first" >&2
  exit 2
fi
exec target/review/2
