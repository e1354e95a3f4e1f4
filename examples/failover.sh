#!/usr/bin/env bash
# Runs three control nodes and three more with targets on free loopback ports, kills the control leader
# amid a stream of changes and bookings, and checks that every acknowledged one is there exactly once.
# Ends with "failover: ok" and exit code 0, or says which step failed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly changes=60
readonly bookings=120

work=$(mktemp -d)
pids=()
step="start"

# Ends the processes that this script started, by id.
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
failed() {
  echo "failover: failed at step: $step" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}
trap cleanup EXIT
trap failed ERR

begin() { step="$1"; echo "== $1"; }

# Waits until a command succeeds, for at most twenty seconds.
eventually() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

begin "build"
CGO_ENABLED=1 go build -o "$work/guavaford" ./cmd/guavaford
CGO_ENABLED=1 go build -o "$work/target" ./examples/target
CGO_ENABLED=1 go build -o "$work/freeport" ./examples/freeport

begin "start three control nodes and three more"
(umask 077 && head -c 32 /dev/urandom | base64 >"$work/secret" && head -c 24 /dev/urandom | base64 | tr -d '/+=' >"$work/token")
declare -a callers targets operator peers node_pid
mapfile -t ports < <("$work/freeport" -n 24)
for i in 1 2 3 4 5 6; do
  callers[i]=127.0.0.1:${ports[4 * i - 4]}
  targets[i]=127.0.0.1:${ports[4 * i - 3]}
  operator[i]=127.0.0.1:${ports[4 * i - 2]}
  peers[i]=127.0.0.1:${ports[4 * i - 1]}
done
control="${peers[1]},${peers[2]},${peers[3]}"
for i in 1 2 3 4 5 6; do
  role=(--initial-replicas "$control")
  if [ "$i" -gt 3 ]; then role=(--no-control --control "$control"); fi
  "$work/guavaford" node --name "n$i" --data-centre "dc$((i % 3))" --data-folder "$work/data$i" \
    --callers-address "${callers[i]}" --targets-address "${targets[i]}" --operator-address "${operator[i]}" \
    --peer-address "${peers[i]}" --fleet-secret-file "$work/secret" --operator-token-file "$work/token" \
    "${role[@]}" 2>"$work/node$i.log" &
  node_pid[i]=$!
  pids+=($!)
done
gf() { "$work/guavaford" "$@" --server "${operator[4]}" --server "${operator[5]}" --token-file "$work/token"; }
three_replicas() { [ "$(gf replicas list | grep -cE '^0 .*(leader|follower)')" = 3 ]; }
eventually three_replicas

begin "apply a configuration, start three targets, issue a key"
applied() { gf apply -f examples/failover.yaml --change-id setup --any-revision; }
eventually applied
for i in 4 5 6; do
  "$work/target" --node "http://${targets[i]}" --name "bookings-$i" --service bookings \
    --journal "$work/journal" 2>"$work/target$i.log" &
  pids+=($!)
done
announced() { [ "$(gf status | grep -c 'bookings-')" -ge 3 ]; }
eventually announced
key=$(gf keys issue registry | tail -n 1)

# Books once over any node: resends under the same key until an answer says what happened. A booking
# whose entry node was killed may get the honest answer that its outcome is unknown.
book() {
  local number=$1 try node status unknown=0 body="$work/body-$1"
  for try in $(seq 60); do
    node=$(((number + try) % 6 + 1))
    status=$(curl -s -m 5 -o "$body" -w '%{http_code}' -X POST -H "Authorization: Bearer $key" \
      -H "Idempotency-Key: booking-$number" "http://${callers[node]}/bookings/$number" || true)
    if [ "$status" = 200 ]; then
      echo "$number" >>"$work/booked"
      return 0
    fi
    if grep -q '"ran":"unknown"' "$body" 2>/dev/null; then unknown=$((unknown + 1)); fi
    if [ "$unknown" = 3 ]; then
      echo "$number" >>"$work/unknown"
      return 0
    fi
    sleep 0.1
  done
  echo "$number: $status $(cat "$body" 2>/dev/null)" >>"$work/not-booked"
}
eventually bash -c "curl -sf -X POST -H 'Authorization: Bearer $key' -H 'Idempotency-Key: first' 'http://${callers[5]}/bookings/first'"

# Adds one organisation: resends under the same change id until it is accepted.
change() {
  local number=$1
  for _ in $(seq 20); do
    if printf 'kind: Organisation\nname: org-%s\nlabels: {size: large}\n' "$number" |
      gf apply -f - --change-id "change-$number" --any-revision >>"$work/changes.log" 2>&1; then
      echo "$number" >>"$work/changed"
      return 0
    fi
  done
  echo "$number" >>"$work/not-changed"
}

begin "kill the control leader amid $changes changes and $bookings bookings"
touch "$work/booked" "$work/changed" "$work/not-booked" "$work/not-changed" "$work/unknown"
leader=$(gf replicas list | awk '$1 == 0 && /leader/ { print $3 }')
(for n in $(seq "$changes"); do change "$n" && sleep 0.05; done) &
stream1=$!
(for n in $(seq 1 2 "$bookings"); do book "$n"; done) &
stream2=$!
(for n in $(seq 2 2 "$bookings"); do book "$n"; done) &
stream3=$!
pids+=("$stream1" "$stream2" "$stream3")
sleep 1
kill -KILL "${node_pid[${leader#n}]}"
echo "killed $leader after $(wc -l <"$work/changed") changes and $(wc -l <"$work/booked") bookings"
wait "$stream1" "$stream2" "$stream3"

begin "every acknowledged change is there exactly once"
echo "$(wc -l <"$work/changed") changes acknowledged, $(wc -l <"$work/not-changed") not"
[ "$(wc -l <"$work/changed")" = "$changes" ]
gf get Organisation >"$work/organisations"
for n in $(seq "$changes"); do [ "$(grep -cw "org-$n" "$work/organisations")" = 1 ]; done
# The set-up, the key, and one revision for each change: a resend made none.
revision=$(gf status --output json | grep -m1 -o '"revision": *[0-9]*' | grep -o '[0-9]*$')
[ "$revision" = $((changes + 2)) ]

begin "every acknowledged booking ran exactly once"
echo "$(wc -l <"$work/booked") bookings acknowledged, $(wc -l <"$work/unknown") of unknown outcome"
cat "$work/not-booked"
[ ! -s "$work/not-booked" ]
# Each of the two streams had at most one booking in flight at the killed node.
[ "$(wc -l <"$work/unknown")" -le 2 ]
sort "$work/journal" | uniq -c | awk '$1 != 1 { print "ran more than once:", $0; bad = 1 } END { exit bad }'
while read -r n; do grep -qx "POST /bookings/$n" "$work/journal"; done <"$work/booked"

echo "failover: ok"
