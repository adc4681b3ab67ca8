#!/usr/bin/env bash
# Regenerates the committed Go code from api/*.proto. Needs protoc and its plug-ins protoc-gen-go and
# protoc-gen-go-grpc on the PATH. Only operator.proto defines a gRPC service.
set -euo pipefail
cd "$(dirname "$0")/.."
module=github.com/sequoiapick/sequoiapick
protoc -I api --go_out=. --go_opt=module=$module --go-grpc_out=. --go-grpc_opt=module=$module operator.proto
protoc -I api --go_out=. --go_opt=module=$module peer.proto cluster.proto
