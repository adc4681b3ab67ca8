#!/usr/bin/env bash
# Regenerates the committed Go code from the schema files; needs protoc and its two Go plug-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
module=github.com/sequoiapick/sequoiapick
protoc -I api --go_out=. --go_opt=module=$module --go-grpc_out=. --go-grpc_opt=module=$module operator.proto
protoc -I api --go_out=. --go_opt=module=$module peer.proto cluster.proto
