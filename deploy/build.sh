#!/bin/sh
# Puts the libraries and the product under target/, for the platform's machines.
set -eu
libraries=target/deps
if [ ! -f target/.libraries ] || [ constraints.txt -nt target/.libraries ]; then
    rm -rf "$libraries"
    python3 -m pip install --quiet --disable-pip-version-check --target "$libraries" \
        -c constraints.txt tornado pyzmq prometheus_client loguru msgspec sortedcontainers
    touch target/.libraries
fi
rm -rf "$libraries/endivestream"
cp -r packages/endivestream/src/endivestream "$libraries/endivestream"
rm -rf "$libraries/endivestream_cli"
cp -r packages/endivestream-cli/src/endivestream_cli "$libraries/endivestream_cli"
