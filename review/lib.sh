# Functions for the scripts of the cases: a small deployment on loopback
# addresses, started with the commands of the deploy file. Needs bash and the
# basic tools of Debian only. Sourced by N/run.sh after it has set CASE.
#
# Every machine has a loopback address of its own, so that the ports of the
# settings are the same on all machines, as DEPLOY.md says.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
DAEMON=$ROOT/target/greengagehubd
STANDINS=$ROOT/target/review/standins
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
STARTED=$(date +%s%N)
declare -A PID_OF IP_OF
PIDS=()

# Prints the milliseconds since the start of the script.
now_ms() { echo $((($(date +%s%N) - STARTED) / 1000000)); }

record() { echo "$(now_ms) ms  $*" >> "$RECORD"; }

say() {
  echo "$*"
  record "$*"
}

clean_up() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait "${PIDS[@]}" 2> /dev/null
  rm -rf "$WORK"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# The case could not run.
give_up() {
  say "could not run: $*"
  exit 2
}

# begin: checks the programs and chooses addresses and ports.
begin() {
  : > "$RECORD"
  local each
  for each in "$DAEMON" "$STANDINS/platform_store" "$STANDINS/platform_worker" "$STANDINS/faulty_worker"; do
    [ -x "$each" ] || give_up "missing ${each#"$ROOT"/}; run the build of the deploy file, then review/build.sh"
  done
  NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
  BASE=$((RANDOM % 120 * 100 + 20000))
  STORE_ADDRESS=$NET.250:$((BASE + 2))
  OUTBOUND=$((BASE + 1))
  READY=$((BASE + 4))
  CONTROL=$((BASE + 6))
  APP=$((BASE + 7))
  FIRST_PORT=$((BASE + 60))
  OPERATORS=$((BASE + 90))
}

# await SECONDS COMMAND...: repeats the command until it succeeds.
await() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

sleep_until() {
  local left=$(($1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# http ADDRESS METHOD TARGET BODY [HEADER...]: one request on a connection of
# its own. Prints the whole answer; prints nothing if there is none.
http() {
  local address=$1 method=$2 target=$3 body=$4 each
  shift 4
  (
    exec 3<> "/dev/tcp/${address%:*}/${address#*:}" || exit 1
    {
      printf '%s %s HTTP/1.1\r\nConnection: close\r\n' "$method" "$target"
      for each in "$@"; do printf '%s\r\n' "$each"; done
      if [ -n "$body" ] || [ "$method" != GET ]; then
        printf 'Content-Length: %d\r\n' "${#body}"
      fi
      printf '\r\n%s' "$body"
    } >&3
    timeout 20 cat <&3
  ) 2> /dev/null
}

# Reads an answer; prints its status, or "none".
status_of() {
  local line
  IFS= read -r line || line=
  line=${line#HTTP/1.1 }
  line=${line%% *}
  echo "${line:-none}"
}

# start NAME COMMAND...: starts a program with its output in a file.
start() {
  local name=$1
  shift
  (cd "$ROOT" && exec "$@") >> "$WORK/$name.out" 2>> "$WORK/$name.err" < /dev/null &
  PID_OF[$name]=$!
  PIDS+=($!)
  disown
}

start_store() {
  start store "$STANDINS/platform_store" \
    --host "${STORE_ADDRESS%:*}" --port "${STORE_ADDRESS#*:}"
  await 10 grep -q listening "$WORK/store.err" || give_up "the store did not start"
}

# put_config FILE: what the operator does. Prints the time of the
# acknowledgement; fails without one.
put_config() {
  local value
  value=$(base64 -w 0 "$1")
  [ "$(http "$STORE_ADDRESS" POST /kv-txn \
    "{\"expected\":[],\"puts\":[{\"key\":\"op/config\",\"value\":\"$value\",\"lease_id\":0}],\"deletes\":[]}" \
    "Content-Type: application/json" | status_of)" = 200 ] || return 1
  now_ms
}

# Fills in deploy/settings.toml for a machine, as the platform does. The sites of
# the cases have none of the optional sections.
write_settings() {
  local name=$1 service=$2 zone=$3 ip=$4
  sed -e '/{{#/,/{{\//d' \
    -e "s/{{node_id}}/$name/" -e "s/{{service}}/$service/" \
    -e "s/{{region}}/stockholm/" -e "s/{{zone}}/$zone/" \
    -e "s/{{limits.link_mbps}}/1000.0/" -e "s/{{ip}}/$ip/" \
    -e "s/{{listen.outbound}}/$ip:$OUTBOUND/" \
    -e "s/{{listen.ready}}/$ip:$READY/" \
    -e "s/{{listen.control}}/$ip:$CONTROL/" \
    -e "s/{{port_range.0}}/$FIRST_PORT/" \
    -e "s/operators_port = 9464/operators_port = $OPERATORS/" \
    -e "s/{{app_addr}}/$ip:$APP/" \
    -e "s/{{platform.address}}/$STORE_ADDRESS/" \
    -e "s/{{heartbeat_ms}}/1500/" -e "s/{{bounds.drain_ms}}/2000/" \
    -e "s/{{bounds.grace_s}}/6/" -e "s/{{bounds.config_apply_ms}}/2000/" \
    -e "s/{{bounds.retry_budget_ratio}}/0.2/" \
    -e "s/{{bounds.budget_window_s}}/10/" -e "s/{{bounds.budget_slack}}/58/" \
    "$ROOT/deploy/settings.toml" > "$WORK/$name.toml"
  ! grep -q '{{' "$WORK/$name.toml" || give_up "the settings template has fields that lib.sh does not know"
}

start_daemon() {
  start "$1" "$DAEMON" --settings "$WORK/$1.toml"
}

# start_machine NAME SERVICE ZONE NUMBER [WORKER OPTION...]: a worker and the
# daemon beside it.
start_machine() {
  local name=$1 service=$2 zone=$3 ip=$NET.$4
  shift 4
  IP_OF[$name]=$ip
  write_settings "$name" "$service" "$zone" "$ip"
  start "$name-worker" "$STANDINS/platform_worker" --host "$ip" --port "$APP" \
    --service "$service" --domain "$zone" --slots 18 --queue 72 \
    --heartbeat-ms 1500 "$@"
  await 10 grep -q listening "$WORK/$name-worker.err" || give_up "worker $name did not start"
  start_daemon "$name"
  control "$name" "{\"heartbeats\":\"http://$ip:$CONTROL\"}"
}

# control NAME JSON: sets a fault of a worker.
control() {
  http "${IP_OF[$1]}:$APP" PUT /control "$2" > /dev/null
}

is_ready() {
  [ "$(http "${IP_OF[$1]}:$READY" GET /readyz "" | status_of)" = 200 ]
}

# request NAME METHOD HOST TARGET ID DEADLINE_MS [HEADER...]: what a client on a
# machine does. Prints the status.
request() {
  local name=$1 method=$2 host=$3 target=$4 id=$5 deadline=$6
  shift 6
  http "${IP_OF[$name]}:$OUTBOUND" "$method" "$target" "" "Host: $host" \
    "X-Greengagehub-Request-Id: $id" "X-Greengagehub-Deadline-Ms: $deadline" \
    "$@" | status_of
}

# ids_run NAME: the ids that a worker has begun to run, one a line.
ids_run() {
  http "${IP_OF[$1]}:$APP" GET /counts "" |
    sed -n 's/.*"runs":{\([^}]*\)}.*/\1/p' | tr , '\n' | cut -d'"' -f2 | sed '/^$/d'
}
