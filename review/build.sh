#!/bin/sh
# Builds the stand-ins: they are Python modules, which the build of the deploy
# file has copied to target/app, and review/world.py. This checks that they
# import with the dependencies of that build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/app:target/deps:review PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -c "import world, twisted.internet.reactor"
