#!/usr/bin/env bash
# Plays days of a site with one decision at a time set to its baseline, against all as
# deploy/host.yaml.tmpl has them, alternately and on scratch copies of this repository.
#
#   FLEETBENCH=... bench/ablate.sh SITE "DAY..." "SEED..." [DECISION=VARIANT...]
#
# A seed "own" is the day's. Without decisions, each is set to its baseline in turn. Prints
# the worth of each play, with ! where a rule was broken, and the mean difference to all on.
# The copies stay in $WORK (default: a new folder) with the journal entries of the plays.
set -euo pipefail
site=$(realpath "$1") days=$2 seeds=$3
shift 3
variants=("$@")
if [ ${#variants[@]} = 0 ]; then
  variants=(ShortPlacement=spread LastingPlacement=spread Disturbance=cautious Mixing=anywhere TakeOver=silence News=table
    Forecast=linear Headroom=fraction RunTimes=declared Overload=accept ShortReserve=none CommitOrder=acceptance)
fi
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=${WORK:-$(mktemp -d)}
mkdir -p "$work"
export work site FLEETBENCH

copy() { # NAME DECISION=VARIANT
  local folder="$work/$1"
  [ -d "$folder" ] || git clone -q "$root" "$folder"
  if [ "$2" != none ]; then
    sed -i "s/^  ${2%%=*}: .*/  ${2%%=*}: ${2##*=}/" "$folder/deploy/host.yaml.tmpl"
  fi
  (cd "$folder" && "$FLEETBENCH" build >/dev/null 2>&1)
}

play() { # NAME DAY SEED
  local options=()
  [ "$3" = own ] || options=(--seed "$3")
  cd "$work/$1"
  "$FLEETBENCH" run "$site" "$2" "${options[@]}" --jobs 1 --why "ablation: $1" --report "$work/$1-$2-$3.json" \
    >"$work/$1-$2-$3.txt" 2>&1 || true
}
export -f play

names=(all)
copy all none &
for variant in "${variants[@]}"; do
  names+=("$variant")
  copy "$variant" "$variant" &
done
wait
for seed in $seeds; do
  for day in $days; do
    for name in "${names[@]}"; do echo "$name $day $seed"; done
  done
done | xargs -P "${JOBS:-7}" -L1 bash -c 'play "$0" "$1" "$2"'

worth() { # NAME DAY SEED: worth, with ! after a broken rule
  local report="$work/$1-$2-$3.json"
  [ -s "$report" ] || { echo "-"; return; }
  local value
  value=$(sed -n 's/^  "G": \([-0-9.]*\),$/\1/p' "$report")
  grep -q '^  "breaks": {}' "$report" || value="$value!"
  echo "$value"
}
for name in "${names[@]}"; do
  for seed in $seeds; do
    for day in $days; do echo "$name $day $seed $(worth all "$day" "$seed") $(worth "$name" "$day" "$seed")"; done
  done
done | awk '{
    print
    broken[$1] += ($5 ~ /!/)
    sub(/!/, "", $4); sub(/!/, "", $5)
    if ($4 == "-" || $5 == "-") next
    n[$1]++; difference = $5 - $4; sum[$1] += difference; squares[$1] += difference * difference; mean[$1] += $5
  } END {
    for (name in n) {
      m = sum[name] / n[name]
      error = n[name] > 1 ? sqrt((squares[name] / n[name] - m * m) / (n[name] - 1)) : 0
      printf "%-26s plays %d, mean worth %.3f, against all on %+.3f +- %.3f, broken %d\n", name, n[name], mean[name] / n[name], m, error, broken[name]
    }
  }'
echo "journal entries: $work/*/journal"
