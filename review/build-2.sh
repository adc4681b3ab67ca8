#!/usr/bin/env bash
# Builds the program that the scripts of the second review start. It holds their stand-ins, among them that
# of the platform's store of this project.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/harness2 ./review/harness2
