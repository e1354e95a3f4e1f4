#!/bin/sh
# Builds the stand-ins of the cases 6 and following: clients, backends, the operator and the platform, in one program.
set -eu
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/standin .
