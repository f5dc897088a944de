#!/usr/bin/env bash
# Prints the resident memory and the processor time of an entry and a target
# process at rest and with running tasks, from /proc. Usage: rest-memory.sh [SECONDS]
set -uo pipefail
cd "$(dirname "$0")/.."

bin=bin/medlargrade
base=${REST_PORT:-18600}
seconds=${1:-20}
logs=$(mktemp -d)
pids=()
trap 'kill -TERM "${pids[@]}" 2>/dev/null; wait' EXIT

start() { # NAME COMMAND...
	local name=$1
	shift
	"$bin" "$@" >"$logs/$name.log" 2>&1 &
	pids+=($!)
}

start platform standin-platform --address "127.0.0.1:$base"
start worker standin-worker --slots 16 --address "127.0.0.1:$((base + 1))"
start entry entry --name e1 --data-centre dc1 --platform "http://127.0.0.1:$base" \
	--caller-address "127.0.0.1:$((base + 2))" --target-address "127.0.0.1:$((base + 3))" \
	--operator-address "127.0.0.1:$((base + 4))"
entry=${pids[-1]}
start target target --name t1 --slots 16 --data-centre dc1 --rack r1 --worker "http://127.0.0.1:$((base + 1))" \
	--address "127.0.0.1:$((base + 5))" --operator-address "127.0.0.1:$((base + 6))" --entry "127.0.0.1:$((base + 3))"
target=${pids[-1]}
sleep 2
"$bin" config apply --platform "http://127.0.0.1:$base" examples/quillfold/config.json >"$logs/apply.log" || exit 1
sleep 3

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
kib() { awk -v f="$2:" '$1 == f { print $2 }' "/proc/$1/status"; }
hz=$(getconf CLK_TCK)

report() { # LABEL
	local e t
	e=$(ticks "$entry") t=$(ticks "$target")
	sleep "$seconds"
	for p in entry target; do
		local pid=${!p} before=$e
		[[ $p == target ]] && before=$t
		awk -v what="$1" -v p="$p" -v rss="$(kib "$pid" VmRSS)" -v peak="$(kib "$pid" VmHWM)" \
			-v used="$(($(ticks "$pid") - before))" -v hz="$hz" -v s="$seconds" \
			'BEGIN { printf "%-10s %-6s  resident %5.1f MB  peak %5.1f MB  processor %.2f%% of a core\n", what, p, rss / 1024, peak / 1024, 100 * used / hz / s }'
	done
}

report "at rest"
for _ in $(seq 200); do
	"$bin" submit --entry "http://127.0.0.1:$((base + 2))" --workspace roller --kind cut-check --payload 1 >/dev/null || exit 1
done
report "after 200"
running=0
for n in 4 12; do
	for (( ; running < n; running++)); do
		"$bin" submit --entry "http://127.0.0.1:$((base + 2))" --wait 0s --workspace roller --kind offcut-renest \
			--payload '{"RunMillis": 600000}' >/dev/null || exit 1
	done
	sleep 1
	report "$n tasks"
done
kill -TERM "$target" "$entry"
sleep 0.2
kill -TERM "$target" "$entry" # They would wait for the tasks.
