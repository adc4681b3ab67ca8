#!/usr/bin/env bash
# Starts a local system on loopback addresses and configures it: a stand-in for the platform, and
# in each of three data centres two daemons and two stand-ins for targets (a model server and a
# retriever). Ctrl-C stops all processes.
# usage: scripts/local.sh [once]
# With "once", the script sends one request, prints the answer and exits.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
go build -o "$bin/" ./cmd/sequoiapick ./cmd/sequoiactl ./internal/standin/standind
started=()
trap 'kill "${started[@]}" 2>/dev/null; wait; rm -rf "$bin"' EXIT
run() { "$@" >>"$bin/log" 2>&1 & started+=($!); }

run "$bin/standind" platform 127.0.0.1:7000
targets=""
n=0
for centre in ga-a ga-b ga-c; do
  n=$((n + 1))
  run "$bin/standind" target "127.0.0.1:900$n" '{"Kind":"llm","FirstMillis":30,"Tokens":20,"TokenMillis":5,"Batch":8,"ColdLimit":1,"WarmAfter":5,"StartCold":true}'
  run "$bin/standind" target "127.0.0.1:910$n" '{"Kind":"retriever","FirstMillis":3}'
  targets="$targets{\"Name\":\"llm-$centre\",\"DataCentre\":\"$centre\",\"Kind\":\"llm\",\"Address\":\"127.0.0.1:900$n\",\"ColdLimit\":1,\"CostMicros\":100,\"EchoesAttempt\":true},"
  targets="$targets{\"Name\":\"retriever-$centre\",\"DataCentre\":\"$centre\",\"Kind\":\"retriever\",\"Address\":\"127.0.0.1:910$n\",\"ColdLimit\":1,\"CostMicros\":10,\"EchoesAttempt\":true},"
  for host in 1 2; do
    run "$bin/sequoiapick" serve -host "$centre-entry-$host" -data-centre "$centre" -trust-account-header \
      -caller-address "127.1.$n.$host:8080" -operator-address "127.1.$n.$host:8081" \
      -peer-address "127.1.$n.$host:8082" -metrics-address "127.1.$n.$host:8083"
  done
done
sleep 2
"$bin/sequoiactl" apply -address 127.1.1.1:8081 - <<JSON
{"Pipelines":[{"Name":"quote-draft","Stages":[{"Name":"retrieve","Kind":"retriever","Idempotent":true},{"Name":"generate","Kind":"llm","Idempotent":true}]}],
 "Tiers":[{"Name":"now","DeadlineMillis":2000,"PriceMicros":900},{"Name":"later","DeadlineMillis":20000,"PriceMicros":200}],
 "Accounts":[{"Name":"front-desk"}],
 "Targets":[${targets%,}]}
JSON
echo 'Try: curl -H "Account: front-desk" -d '"'"'{"Tier":"later","Input":"12 timers"}'"'"' http://127.1.1.1:8080/v1/pipelines/quote-draft/runs'
echo "Logs are in $bin/log. Ctrl-C stops everything."
[ "${1:-}" = once ] && { curl -sf -H "Account: front-desk" -d '{"Tier":"later","Input":"12 timers"}' http://127.1.1.1:8080/v1/pipelines/quote-draft/runs; echo; exit 0; }
wait
