#!/usr/bin/env bash
# A backend starts again under its id after its clock has jumped back, and leaves later.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec target/review/drive -case stepped-back -record "$here/record.txt"
