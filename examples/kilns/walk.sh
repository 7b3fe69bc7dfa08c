#!/usr/bin/env bash
# Starts the co-operative's three data centres on loopback, books a kiln through
# each entry host, and waits for tonight's firing plan.
. "$(dirname "$0")/../lib/start.sh"
start_deployment kilns Ofenbuch werkstatt-nidau werkstatt-biel werkstatt-ins

for host in 11 12 13; do
  echo "--- a quick slot check and a booking through 127.0.0.$host"
  curl -s -m 5 -H 'Cottonlanding-Team: members' "http://127.0.0.$host:7100/v1/Services/Ofenbuch/Requests/slots"
  echo
  curl -s -m 5 -X POST -d 'kiln 2, Friday' -H 'Cottonlanding-Team: members' -H 'Idempotency-Key: booking-7' \
    "http://127.0.0.$host:7100/v1/Services/Ofenbuch/Requests/book"
  echo
done
echo "--- the three bookings have one key, so that one ran and all got its answer"

wait_for_job bisque-tonight 127.0.0.12:7100
[ "${1:-}" = --stay ] && { echo "running; Ctrl-C ends it"; wait; }
echo "walk complete"
