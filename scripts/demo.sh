#!/usr/bin/env bash
# Demonstrates a gang job and an at-most-once request for both deployments, one after the other. Each cluster has three
# entry,control processes, eleven agents, eleven workers and eleven backend servers, as separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
ROOT=$(mktemp -d)
. scripts/cluster.sh

finish() {
  local code=$?
  kill_all 2>/dev/null || true
  if [ "$code" -ne 0 ]; then echo "the demonstration failed; its logs are in $ROOT"; else rm -rf "$ROOT"; fi
}
trap finish EXIT

run_deployment() { # NAME WORKSPACE-OF-JOB SERVICE PATH PORT-BASE CORES WORKSPACES...
  local name=$1 workspace=$2 service=$3 path=$4 base=$5 cores=$6
  shift 6
  echo "== $name"
  DIR=$ROOT/$name
  BASE=$base CORES=$cores SERVICE=$service
  mkdir "$DIR"
  write_tokens "$@"
  local i all=$(seq 11)
  for i in 1 2 3; do start_entry "$i"; done
  for i in 1 2 3; do await 10 ready "$i"; done
  for i in $all; do start_agent "$i"; start_worker "$i"; start_runner "$i"; done
  await 10 agents_attached 11
  await 10 tool workspaces create --file "deploy/$name/workspaces.yaml"
  tool presets set --file "deploy/$name/presets.yaml"
  tool presets use peak
  tool workspaces list
  echo "-- a gang job"
  tool_as "$workspace" jobs submit --file "deploy/$name/job.yaml" --wait
  echo "-- a request that runs at most once, sent twice through different entries"
  tool_as "$workspace" requests send "$service" "$path" --method POST --body "please" --key first --class urgent
  tool_as "$workspace" --server "$(http_address 2)" requests send "$service" "$path" --method POST --body "please" --key first --class urgent
  echo "-- runs of it at the backend servers: $(cat "$DIR"/runner*.journal | grep -c "$workspace/first")"
  echo "-- stopping everything gracefully"
  stop $(for i in $all; do echo "runner$i" "agent$i"; done)
  stop $(for i in $all; do echo "worker$i"; done)
  stop entry3 entry2 entry1
}

run_deployment taukvads planner planner /routes/tomorrow 7400 64 planner overflow tickets reports
run_deployment dvorak photos booking /flats/7/fitter 8400 32 booking matching photos fitters
echo "demonstration ended well"
