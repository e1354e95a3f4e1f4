#!/bin/sh
# Builds every stand-in that the scripts of the cases start. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standin"
exec go build -o ../bin/standin .
