#!/usr/bin/env bash
# Builds the stand-ins that the cases start into bin/review. Needs Go and the modules that go.mod names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
CGO_ENABLED=1 go build -tags review -o bin/review/ ./review/platform ./review/fleet
