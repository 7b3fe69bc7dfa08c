#!/usr/bin/env bash
# Starts the thumbnail outfit's three data centres on loopback, asks for a cover
# through each entry host, and waits for tonight's preview strips.
. "$(dirname "$0")/../lib/start.sh"
start_deployment thumbnails framecut brno-a brno-b brno-c

for host in 11 12 13; do
  echo "--- a cover through 127.0.0.$host"
  curl -s -m 5 -X POST -d 'frame 1200' -H 'Cottonlanding-Team: shops' -H "Idempotency-Key: cover-$host" \
    "http://127.0.0.$host:7100/v1/Services/framecut/Requests/cover"
  echo
done

wait_for_job strips-tonight 127.0.0.13:7100
[ "${1:-}" = --stay ] && { echo "running; Ctrl-C ends it"; wait; }
echo "walk complete"
