#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the two programs of the deploy file: the agent, and for case
# 10 the tool's `put` on the project's own client of agents. The other stand-ins are Python (standard library only) and need
# no build. Runs after the deploy file's build, without a network.
set -e
cd "$(dirname "$0")/.."
cmake -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4 --target lotuslead_agent lotuslead_client
"${CXX:-c++}" -std=c++20 -O1 -Iinclude -o build/review_put review/10/put.cpp build/liblotuslead_client.a \
    build/liblotuslead_net.a build/liblotuslead_settings.a build/liblotuslead_policy.a
