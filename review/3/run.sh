#!/usr/bin/env bash
# The operator takes the only tenant away, and with it all keys. See claim.txt.
# TROUBLE=0: the same version leaves another tenant.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

HOST=air.example
REQUESTS=60
REVOKE_MS=5000
KEY=x42q492cqf75rjvz48wu
OTHER_KEY=akn2ftimaj3nr26tta82
UNKNOWN_KEY=q0000000000000000000
WITH_TENANTS=1

tenant() {
  printf '{"name":"%s","api_keys":["%s"],"priority":1,"per_s":500,"burst":500}' "$1" "$2"
}

# write_config FILE VERSION TENANTS
write_config() {
  cat > "$1" << EOF
{"version":"$2","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[$3],
"listeners":[{"host":"$HOST","rules":[{"name":"calib-order","kind":"unsafe","target_latency_ms":800,"priority":1,"public":false,"match":{"prefix":"/orders/"},
"action":{"service":"station-desk","timeout_ms":3000,"attempts":2}}]}],
"clusters":[{"name":"station-desk","health_check_path":"/healthz","max_connections":430,"protocol":"h1","tls":false}]}
EOF
}

# send PREFIX COUNT KEY: requests from each machine in turn. Counts the answers
# 200 in SERVED.
send() {
  local i name id status
  SERVED=0
  for ((i = 1; i <= $2; i++)); do
    name=${MACHINES[i % ${#MACHINES[@]}]}
    id=$1-$i
    status=$(request "$name" POST "$HOST" /orders/7 "$id" 6000 \
      "X-Greengagehub-Key: $3")
    record "sent $id at $name with the key $3, answered $status"
    [ "$status" = 200 ] && SERVED=$((SERVED + 1))
  done
}

# ran PREFIX: how many requests with this prefix all workers ran.
ran() {
  local name
  for name in "${MACHINES[@]}"; do ids_run "$name"; done | grep -c "^$1-"
}

begin
start_store
if [ "${TROUBLE:-1}" = 0 ]; then LEFT=$(tenant other-firm "$OTHER_KEY"); else LEFT=; fi
write_config "$WORK/first.json" 00000003 "$(tenant member-firm "$KEY")"
write_config "$WORK/second.json" 00000005 "$LEFT"
put_config "$WORK/first.json" > /dev/null || give_up "the store took no configuration"
MACHINES=(kolkata-1 kolkata-2 siliguri-1 siliguri-2 durgapur-1)
start_machine kolkata-1 station-desk kolkata 1
start_machine kolkata-2 station-desk kolkata 2
start_machine siliguri-1 station-desk siliguri 3
start_machine siliguri-2 station-desk siliguri 4
start_machine durgapur-1 station-desk durgapur 5
for each in "${MACHINES[@]}"; do
  await 20 is_ready "$each" || give_up "$each is not ready"
done
# All machines are in touch after this: stability_window_ms is 3,000.
sleep 6

send before 20 "$KEY"
BEFORE=$SERVED
send stranger 20 "$UNKNOWN_KEY"
say "version 3: with the tenant's key $BEFORE of 20 requests are served, with an unknown key $SERVED of 20"
[ "$BEFORE" -ge 18 ] || give_up "version 3 serves only $BEFORE of 20 requests"
[ "$SERVED" = 0 ] || give_up "version 3 serves requests with an unknown key"

ACKED=$(put_config "$WORK/second.json") || give_up "the store took no second configuration"
record "version 5 acknowledged at $ACKED ms"
# One second more than the rule allows.
sleep_until $((ACKED + REVOKE_MS + 1000))
send revoked "$REQUESTS" "$KEY"
send unknown "$REQUESTS" "$UNKNOWN_KEY"
REVOKED=$(ran revoked)
UNKNOWN=$(ran unknown)
for each in "${MACHINES[@]}"; do
  record "$each ran: $(ids_run "$each" | tr '\n' ' ')"
done
say "version 5: with the key that was taken away $REVOKED of $REQUESTS requests ran, with a key that never was in force $UNKNOWN of $REQUESTS"
if [ "$REVOKED" -gt 0 ] || [ "$UNKNOWN" -gt 0 ]; then
  say "BROKEN: requests ran that were sent later than $REVOKE_MS ms after the acknowledgement of version 5"
  exit 1
fi
if [ "${TROUBLE:-1}" = 0 ]; then
  send left 20 "$OTHER_KEY"
  say "with the key of the tenant that is left $SERVED of 20 requests are served"
  [ "$SERVED" -ge 18 ] || give_up "only $SERVED of 20 requests are served"
fi
say "held: no request ran without a key in force"
exit 0
