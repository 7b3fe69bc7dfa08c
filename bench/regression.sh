#!/usr/bin/env bash
# Scores the sites of bench/figures.txt one after the other and compares the mean worth of
# the days with trouble with the figure kept there.
#
#   FLEETBENCH=... bench/regression.sh FOLDER [SITE...]
#
# FOLDER holds the site files. Prints a line for each site with the id of its journal entry,
# the gate and the broken rules, and ends with 1 if a site fell by more than 0.03 or broke a
# rule. JOBS plays at a time (default 2: an owner near its limit is measured slower beside
# others).
set -euo pipefail
folder=$(realpath "$1")
shift
cd "$(dirname "${BASH_SOURCE[0]}")/.."
failed=0
while read -r site figure; do
  case "$site" in "#"* | "") continue ;; esac
  if [ $# -gt 0 ] && ! [[ " $* " == *" $site "* ]]; then continue; fi
  "$FLEETBENCH" score "$folder/$site" --jobs "${JOBS:-2}" --why "regression: $site" >/dev/null 2>&1 || true
  entry=$(find journal -name '*.json' -printf '%T@ %p\n' | sort -n | tail -1 | cut -d' ' -f2)
  python3 - "$entry" "$site" "$figure" <<'PY' || failed=1
import json, sys
entry, site, kept = sys.argv[1], sys.argv[2], float(sys.argv[3])
run = json.load(open(entry))
days = [day for day in run["days"] if not day["name"].startswith(("quiet", "fresh"))]
mean = sum(day["G"] for day in days) / max(len(days), 1)
rules = {day["name"]: day["rules"] for day in run["days"] if day["rules"]}
short = {day["name"]: day["short"] for day in run["days"] if day["short"]}
fell = not days or mean < kept - 0.03
print(f"{site} {run['id']}: {mean:.3f}, kept {kept:.3f}{', FELL' if fell else ''}; broken {rules or 'none'}; floors missed {short or 'none'}")
sys.exit(1 if fell or rules else 0)
PY
done <bench/figures.txt
exit $failed
