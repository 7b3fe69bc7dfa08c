#!/usr/bin/env bash
# Two builds in one deployment, under bookings and jobs: the hosts of the old build are replaced
# one by one by the new build and back, the owner is killed at each stage, and all hosts of one
# build are killed so that the other takes over their rows. Then the soak of cottonhost, where
# each start of a host takes one of the builds at random.
# Usage: bench/builds.sh OLD NEW [SEEDS], OLD and NEW being checkouts
old=$(realpath "$1") new=$(realpath "$2") seeds=${3:-5}
. "$(dirname "$0")/lib.sh"
for build in old new; do
  mkdir -p "$work/$build"
  (cd "${!build}" && go build -o "$work/$build/" ./cmd/...)
done
failed=0
check() { # TEXT COMMAND...
  local text=$1
  shift
  if "$@"; then echo "ok: $text"; else echo "FAILED: $text"; failed=1; fi
}

use() { # NUMBER BUILD SIGNAL: ends a host and starts it in a build
  kill "-$3" "${pids[h$1]}" 2>/dev/null || true
  wait "${pids[h$1]}" 2>/dev/null || true
  launch "h$1" "$work/$2/cottonlanding" serve --config "$work/h$1.yaml"
}

state_of() { "$work/new/cottonlanding" --server 127.0.60.12:7100 status "$1" | head -1; }
await_done() { # JOB
  for _ in $(seq 600); do state_of "$1" 2>/dev/null | grep -q ': Done' && return 0; sleep 0.1; done
  return 1
}
repeats() { "$work/new/cottonlanding" --server 127.0.60.12:7100 status "$1" | awk '$2 == "Done" && $3 > 1' | wc -l; }

PATH="$work/old:$PATH" begin # hosts, stand-ins and the configuration are of the old build
for build in old new; do
  for file in "$root"/examples/*/*.yaml "$old"/examples/*/*.yaml; do
    "$work/$build/cottonlanding" check "$file" >/dev/null || { echo "FAILED: $build build, check $file"; failed=1; }
  done
done
job() { # NAME KIND TASKS SPAN
  echo "{Name: $1, Team: members, Kind: $2, Tasks: $3, RunTime: $4, Resources: {CPU: 1, Memory: 1GB}}" >"$work/$1.yaml"
  for _ in $(seq 100); do # a host without an owner refuses it for a while
    "$work/$5/cottonlanding" --server 127.0.60.12:7100 submit "$work/$1.yaml" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  return 1
}
job watch-old Watch 8 40s old
job batch-old Batch 120 2s old
"$work/new/cottonload" requests $targets $executors --booking --path /v1/Services/Ofenbuch/Requests/book \
  --rate 100 --duration 75s --deadline 3s >"$work/load" 2>&1 &
loader=$!
for build in new old new; do
  for number in 1 2 3; do
    use "$number" "$build" TERM
    wait_ready "$number"
    sleep 1
    owner=$(owner) && use "$owner" "$build" KILL && wait_ready "$owner"
    if [ "$number" = 2 ]; then job "batch-$build-$RANDOM" Batch 30 1s "$build"; fi
  done
done
for build in old new; do
  for number in 1 2 3; do kill -KILL "${pids[h$number]}"; done
  for number in 1 2 3; do use "$number" "$build" KILL; done
  for number in 1 2 3; do wait_ready "$number"; done
  sleep 3
done
check "bookings while builds change" wait "$loader"
cat "$work/load"
for file in "$work"/watch-*.yaml "$work"/batch-*.yaml; do
  name=$(basename "$file" .yaml)
  check "job $name: all tasks done" await_done "$name"
done
check "no watch task ran again" [ "$(repeats watch-old)" = 0 ]
check "no host met a row or message that it can't read" \
  bash -c "! grep -hE 'refused|cannot unmarshal|invalid character|unknown field' $work/h?.log"

cat >"$work/either" <<X
#!/usr/bin/env bash
build=old
[ \$((RANDOM % 2)) = 1 ] && build=new
echo "\$build" >>"$work/starts"
exec "$work/\$build/cottonhost"
X
chmod +x "$work/either"
check "soak of $seeds seeds with either build" go test -count=1 -timeout 60m ./platform -run 'TestSoak$' \
  -soak.program "$work/either" -soak.seeds "$seeds" -soak.first "${FIRST:-64001}"
sort "$work/starts" | uniq -c
exit $failed
