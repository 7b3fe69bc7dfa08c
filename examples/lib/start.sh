# Sourced by the walks: starts a deployment of three data centres on loopback.
# Usage: start_deployment FOLDER SERVICE DATA_CENTRE DATA_CENTRE DATA_CENTRE
set -eu

cd "$(dirname "$0")/../.."
mkdir -p bin
go build -o bin/ ./cmd/...
export PATH="$PWD/bin:$PATH"
logs=$(mktemp -d)
started=""

launch() { # NAME COMMAND...
  name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  started="$! $started"
}

stop_deployment() {
  for pid in $started; do kill "$pid" 2>/dev/null || true; done
  wait
  echo "stopped; the logs are in $logs"
}
trap stop_deployment EXIT

ready() { # ADDRESS
  for _ in $(seq 100); do
    curl -sf -m 1 "http://$1/$2" >/dev/null && return 0
    sleep 0.1
  done
  echo "$1 does not get ready" >&2
  return 1
}

start_deployment() {
  folder=$1
  service=$2
  shift 2
  launch platform cottonstand platform --listen 127.0.0.1:7000
  number=0
  for centre in "$@"; do
    launch "workers-$centre" cottonstand worker --data-centre "$centre" --count 16 \
      --listen "127.0.0.$((21 + number)):7200"
    launch "executors-$centre" cottonstand executor --data-centre "$centre" --count 16 \
      --service "$service" --listen "127.0.0.$((31 + number)):7300"
    launch "$centre" cottonlanding serve --config "examples/$folder/$centre.yaml"
    number=$((number + 1))
  done
  for host in 11 12 13; do ready "127.0.0.$host:7100" healthz; done
  cottonlanding --server 127.0.0.11:7100 apply "examples/$folder/configuration.yaml"
  for host in 11 12 13; do ready "127.0.0.$host:7100" readyz; done
}

# wait_for_job JOB ADDRESS: prints the job once it is final.
wait_for_job() {
  for _ in $(seq 300); do
    if cottonlanding --server "$2" status "$1" 2>/dev/null | grep -Eq '^job .*: (Done|Failed|Cancelled)'; then
      cottonlanding --server "$2" status "$1"
      return 0
    fi
    sleep 0.1
  done
  echo "job $1 does not end" >&2
  return 1
}
