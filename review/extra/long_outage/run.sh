#!/bin/sh
# Takes 12 minutes. Exits like the cases: 1, 0 or 2.
cd "$(dirname "$0")/../../.." || exit 2
# Without the build the case cannot run.
review/build.sh 2>/dev/null || exit 2
PYTHONPATH=target/app:target/deps PYTHONDONTWRITEBYTECODE=1 \
    exec python3 review/extra/long_outage/case.py 660
