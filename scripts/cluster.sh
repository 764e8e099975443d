# Functions that run a small cluster of separate processes on loopback, for the demonstration and for failure tests.
# Set BIN (the folder of the programs) and DIR (an empty folder for logs and state) before sourcing this file.

BASE=${BASE:-7400}
ENTRIES=${ENTRIES:-3}
declare -A PID

address() { echo "127.0.0.1:$((BASE + $1))"; }
control_address() { address $((1 + $1)); }
entry_address() { address $((11 + $1)); }
http_address() { address $((21 + $1)); }
agent_address() { address $((100 + $1)); }
worker_address() { address $((200 + $1)); }
runner_address() { address $((300 + $1)); }

join() { local IFS=,; echo "$*"; }
seats() { join $(for i in $(seq "$ENTRIES"); do control_address "$i"; done); }
entries() { join $(for i in $(seq "$ENTRIES"); do entry_address "$i"; done); }
servers() { join $(for i in $(seq "$ENTRIES"); do http_address "$i"; done); }

# start NAME COMMAND... runs a program in the background and stores its process ID in PID.
start() {
  local name=$1
  shift
  "$@" >>"$DIR/$name.out" 2>&1 &
  PID[$name]=$!
}

start_entry() {
  start "entry$1" "$BIN/lagoonmilld" --roles entry,control --name "entry$1" --availability-zone "zone-$(((($1 - 1) % 3) + 1))" \
    --data-dir "$DIR/data$1" --control-address "$(control_address "$1")" --control-seats "$(seats)" \
    --entry-address "$(entry_address "$1")" --http-address "$(http_address "$1")" --token-file "$DIR/tokens" \
    --balancer-interval "${BALANCER_INTERVAL:-500ms}" --drain-time 10s --log-file "$DIR/entry$1.log" ${ENTRY_FLAGS:-}
}

start_agent() {
  start "agent$1" "$BIN/lagoonmilld" --roles agent --name "w$1" --availability-zone "zone-$(((($1 - 1) / 4) + 1))" \
    --agent-address "$(agent_address "$1")" --entries "$(entries)" --drain-time 10s --log-file "$DIR/agent$1.log"
}

start_worker() {
  start "worker$1" "$BIN/lagoonmill-standin" worker --address "$(worker_address "$1")" --agent "$(agent_address "$1")" \
    --id "w$1" --region home --availability-zone "zone-$(((($1 - 1) / 4) + 1))" --rack "rack-$(((($1 - 1) / 3) + 1))" \
    --accelerators 8 --cores "${CORES:-64}" --journal "$DIR/worker$1.journal"
}

start_runner() {
  start "runner$1" "$BIN/lagoonmill-standin" runner --address "$(runner_address "$1")" --agent "$(agent_address "$1")" \
    --service "${SERVICE:-app}" --slots 8 --latency "${LATENCY:-5ms}" --journal "$DIR/runner$1.journal" ${RUNNER_FLAGS:-} --seed "$1"
}

# stop NAME... sends SIGTERM to processes and waits for them. It fails if one does not exit with code 0.
stop() {
  local name failed=0
  for name in "$@"; do kill -TERM "${PID[$name]}" 2>/dev/null; done
  for name in "$@"; do
    wait "${PID[$name]}" || { echo "$name ended with code $?"; failed=1; }
    unset "PID[$name]"
  done
  return $failed
}

# kill_all sends SIGKILL to all remaining processes by their ID, to clean up after a failed run.
kill_all() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait
}

write_tokens() {
  local name
  {
    echo "operator admin operator-token"
    for name in "$@"; do echo "workspace $name $name-token"; done
  } >"$DIR/tokens"
  echo operator-token >"$DIR/operator.token"
  for name in "$@"; do echo "$name-token" >"$DIR/$name.token"; done
}

tool() { "$BIN/lagoonmill" --server "$(servers)" --token-file "$DIR/operator.token" "$@"; }
tool_as() { local who=$1; shift; "$BIN/lagoonmill" --server "$(servers)" --token-file "$DIR/$who.token" "$@"; }

# await SECONDS COMMAND... repeats a command until it succeeds. It fails after SECONDS.
await() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $deadline ] || { echo "timed out waiting for: $*"; return 1; }
    sleep 0.1
  done
}

ready() { curl -fs "http://$(http_address "$1")/readyz"; }

agents_attached() { [ "$(tool --output json cluster status | grep -c '"entry"')" -ge 1 ] && [ "$(curl -fs -H 'Authorization: Bearer operator-token' "http://$(http_address 1)/v1/agents" | grep -o '"incarnation"' | wc -l)" -ge "$1" ]; }
