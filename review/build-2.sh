#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the two programs of the deploy file: the agent. The stand-ins
# are Python (standard library only) and need no build. Runs after the deploy file's build, without a network.
set -e
cd "$(dirname "$0")/.."
cmake -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4 --target lotuslead_agent
