#!/usr/bin/env bash
# Prints the settings of one node of a yewreel demo cluster on a single machine.
# Usage: settings.sh NAME IP ZONE [DATA_FOLDER]
set -euo pipefail
cat <<TOML
[node]
name = "$1"
cell = "$3"
ip = "$2"
sparePorts = [17540, 17555]
seedNodes = ["127.0.0.1:17600", "127.0.0.2:17600", "127.0.0.3:17600"]
firstRun = ${FIRST_RUN:-true}
heartbeat = "1500ms"
dataFolder = "${4:-}"
[listen]
front = "$2:17601"
ready = "$2:17602"
control = "$2:17600"
[withstand]
machines = 1
[bounds]
drain = "2s"
grace = "6s"
apply = "2s"
contact = "3s"
confirm = "4s"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 20
TOML
