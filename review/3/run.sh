#!/usr/bin/env bash
# A route that is split between two services gets another second part. See
# claim.txt. TROUBLE=0: the route has the new parts from the start, and the
# second version changes its time-out only.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

HOST=yard.example
REQUESTS=150
CONFIG_APPLY_MS=2000

# write_config FILE VERSION OTHER_PART TIMEOUT_MS
write_config() {
  cat > "$1" << EOF
{"version":"$2","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":"$HOST","rules":[{"name":"book-weighing","kind":"unsafe","target_latency_ms":250,"priority":1,"match":{"prefix":"/book/"},
"action":{"weighted_clusters":[{"service":"gatehouse","weight":50},{"service":"$3","weight":50}],"timeout_ms":$4,"attempts":2}}]}],
"clusters":[{"name":"gatehouse","health_check_path":"/healthz","max_connections":110,"protocol":"h1","tls":false},
{"name":"weighbridge","health_check_path":"/healthz","max_connections":110,"protocol":"h1","tls":false},
{"name":"supplier-ledger","health_check_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}]}
EOF
}

# send PREFIX COUNT: sends requests one after the other, from each machine in
# turn; records id, machine and status.
send() {
  local i name id status
  for ((i = 1; i <= $2; i++)); do
    name=${MACHINES[i % ${#MACHINES[@]}]}
    id=$1-$i
    status=$(request "$name" POST "$HOST" "/book/$i" "$id" 1000)
    record "sent $id at $name, answered $status"
    [ "$status" = 200 ] && SERVED=$((SERVED + 1))
  done
}

# ran PREFIX NAME: how many requests with this prefix the worker ran.
ran() { ids_run "$2" | grep -c "^$1-"; }

begin
start_store
if [ "${TROUBLE:-1}" = 0 ]; then FIRST=supplier-ledger; else FIRST=weighbridge; fi
write_config "$WORK/first.json" 00000003 "$FIRST" 1000
write_config "$WORK/second.json" 00000005 supplier-ledger 900
put_config "$WORK/first.json" > /dev/null || give_up "the store took no configuration"
start_machine gate-1 gatehouse solna 1
start_machine gate-2 gatehouse kista 2
start_machine bridge-1 weighbridge solna 3
start_machine bridge-2 weighbridge kista 4
start_machine ledger-1 supplier-ledger solna 5
start_machine ledger-2 supplier-ledger kista 6
MACHINES=(gate-1 gate-2 bridge-1 bridge-2 ledger-1 ledger-2)
for each in "${MACHINES[@]}"; do
  await 20 is_ready "$each" || give_up "$each is not ready"
done
# All machines are in touch after this: stability_window_ms is 3,000.
sleep 5

SERVED=0
send before 30
say "version 3: gate $(($(ran before gate-1) + $(ran before gate-2))), bridge $(($(ran before bridge-1) + $(ran before bridge-2))), ledger $(($(ran before ledger-1) + $(ran before ledger-2))) of 30 requests"
[ "$SERVED" -ge 27 ] || give_up "only $SERVED of 30 requests are served by version 3"

ACKED=$(put_config "$WORK/second.json") || give_up "the store took no second configuration"
record "version 5 acknowledged at $ACKED ms"
# One second more than the rule allows.
sleep_until $((ACKED + CONFIG_APPLY_MS + 1000))
SERVED=0
send after "$REQUESTS"
OLD=$(($(ran after bridge-1) + $(ran after bridge-2)))
for each in "${MACHINES[@]}"; do
  record "$each ran: $(ids_run "$each" | tr '\n' ' ')"
done
say "version 5: gate $(($(ran after gate-1) + $(ran after gate-2))), bridge $OLD, ledger $(($(ran after ledger-1) + $(ran after ledger-2))) of $REQUESTS requests; $SERVED served"
[ "$SERVED" -ge $((REQUESTS * 9 / 10)) ] || give_up "only $SERVED requests are served"
if [ "$OLD" -gt 0 ]; then
  say "BROKEN: $OLD requests, sent later than $CONFIG_APPLY_MS ms after the acknowledgement of version 5, were run by weighbridge, to which only version 3 sends them"
  exit 1
fi
say "held: no request was run by weighbridge"
exit 0
