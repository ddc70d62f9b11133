#!/usr/bin/env bash
# Runs a demo cluster on the loopback addresses of this machine: three controllers, two gateways
# and two stub workers. Applies examples/config.json, sends one request through a gateway and prints
# the response. Ctrl-C stops all processes and deletes the temporary folder with their settings,
# data and logs.
set -euo pipefail
cd "$(dirname "$0")/.."
yewreel="target/bundle/main.js"
worker="target/test/features/support/run-stub-worker.js"
[ -f "$yewreel" ] && [ -f "$worker" ] || { echo "demo: the build output is missing; start the demo with npm run demo, which builds first"; exit 1; }
folder=$(mktemp -d)
started=()
finish() {
  trap - EXIT INT TERM
  echo "demo: stopping all processes"
  [ ${#started[@]} -eq 0 ] || kill -KILL "${started[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 0' INT TERM

controllers=127.0.0.1:17600,127.0.0.2:17600,127.0.0.3:17600
for n in 1 2 3; do
  examples/settings.sh "controller-$n" "127.0.0.$n" "zone-$n" "$folder/controller-$n" > "$folder/controller-$n.toml"
  YEWREEL_CONFIG="$folder/controller-$n.toml" node "$yewreel" controller > "$folder/controller-$n.log" 2>&1 &
  started+=($!)
done
for n in 4 5; do
  examples/settings.sh "gateway-$n" "127.0.0.$n" zone-1 > "$folder/gateway-$n.toml"
  YEWREEL_CONFIG="$folder/gateway-$n.toml" node "$yewreel" gateway > "$folder/gateway-$n.log" 2>&1 &
  started+=($!)
done
for n in 1 2; do
  node "$worker" menu zone-1 ${controllers//,/ } > "$folder/worker-$n.log" 2>&1 &
  started+=($!)
done

# Repeats a command every 0.5 s until it succeeds; fails after 60 attempts (30 seconds).
retry() {
  for _ in $(seq 60); do
    "$@" > "$folder/out.txt" 2>&1 && return
    sleep 0.5
  done
  echo "demo: command did not succeed within 30 seconds: $*"
  cat "$folder/out.txt"
  return 1
}
export YEWREEL_CONTROLLERS=$controllers
echo "demo: starting three controllers, two gateways and two workers; logs in $folder"
retry node "$yewreel" ctl apply examples/config.json
echo "demo: applied examples/config.json"
retry curl -sf -o /dev/null http://127.0.0.4:17602/ready
retry curl -sf -i -H "Host: menu.example" -H "Yewreel-Try-Id: demo" http://127.0.0.4:17601/menu/today
echo "demo: response to GET http://127.0.0.4:17601/menu/today with Host: menu.example:"
sed 's/^/    /' "$folder/out.txt"
echo
echo "demo: press Ctrl-C to stop. To list the nodes, run: YEWREEL_CONTROLLERS=$controllers node $yewreel ctl nodes"
wait
