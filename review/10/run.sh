#!/bin/sh
# All gateways are killed, twice, while a request that crashes servers comes again and again.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/router ] || [ ! -x target/review-2/standin ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/review-2/standin deadly-request review/10/record.txt
