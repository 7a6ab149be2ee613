#!/usr/bin/env bash
# A service's process is gone and still listed: requests that may run once and meet a refused connection are answered by
# the other process, under a claim and without one.
source "$(dirname "$0")/fleet.sh"

SERVICE=$((FLEET_PORT + 40))

start_fleet 3 3
wait_ready 1 2 3
for n in 1 2; do
    FAKE_ENTRIES="1 2 3" start_fakes "service$n" --engines 0 --services 1 --service-names registry \
        --base-port $((SERVICE + n - 1))
done
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 2 || fail "daemon $n does not know the services"
done
kill -KILL "$(pid_of service1)"
for n in 1 2 3 1 2 3; do
    for key in 'X-None: 1' "Idempotency-Key: key$n$RANDOM"; do
        answer=$(curl -s -m 40 -H 'Authorization: Bearer key-acme' -H "$key" -d "raise by $n" \
            "http://$(entry "$n")/registry/amendments")
        [ "$(jq -r .body <<<"$answer")" = "raise by $n" ] || fail "daemon $n, $key: $answer"
    done
done
say "requests that may run once are answered although a listed process refuses connections"
