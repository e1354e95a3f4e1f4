#!/usr/bin/env bash
# Brings about three kinds of failed requests on a fleet of processes, and prints for each what the logs say of its id:
# refused over a rate, answered 502 after its target vanished, refused behind a queue. See docs/OPERATIONS.md.
# Ends with "operations: ok" and exit code 0, or with the step that failed.
set -euo pipefail
cd "$(dirname "$0")/.."

CGO_ENABLED=1 go test -count=1 -v -run '^TestFromAFailedRequestToItsCause$' ./platform |
  sed -n -e 's/^ *process_test.go:[0-9]*: //' -e '/^[0-9]\. /p' -e '/^ *>/p' -e '/^--- FAIL/p'
echo "operations: ok"
