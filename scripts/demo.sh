#!/usr/bin/env bash
# Starts the stand-ins, two entries and six targets as separate processes on
# loopback, applies an example configuration, runs jobs of every kind, stops
# processes while they work, and checks each outcome. Exits 0 only if all are as
# promised.
set -uo pipefail
cd "$(dirname "$0")/.."

bin=bin/medlargrade
base=${DEMO_PORT:-17000}
logs=$(mktemp -d)
pids=()
declare -A pid_of
failures=0

start() { # NAME COMMAND...
	local name=$1
	shift
	"$bin" "$@" >"$logs/$name.log" 2>&1 &
	pids+=($!)
	pid_of[$name]=$!
}

stop_all() {
	# Targets and entries stop gracefully before what they depend on.
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null
	done
	for ((n = 0; n < 100; n++)); do
		local alive=0
		for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
		((alive)) || return
		sleep 0.1
	done
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
}
trap stop_all EXIT

check() { # DESCRIPTION WANTED ACTUAL
	if [[ $3 == *"$2"* ]]; then
		printf 'ok    %s\n' "$1"
	else
		printf 'FAIL  %s: wanted %s, got %s\n' "$1" "$2" "$3"
		failures=$((failures + 1))
	fi
}

field() { sed -n "s/^  \"$1\": \"\\(.*\\)\",\\{0,1\\}\$/\\1/p" | head -1; }

await() { # DESCRIPTION TRIES COMMAND...
	local what=$1 tries=$2
	shift 2
	for ((n = 0; n < tries; n++)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	printf 'FAIL  %s did not happen\n' "$what"
	failures=$((failures + 1))
	return 1
}

platform=127.0.0.1:$base
e1=http://127.0.0.1:$((base + 11)) e2=http://127.0.0.1:$((base + 21))
ops=http://127.0.0.1:$((base + 13))

start_target() { # NUMBER
	local i=$1 rack=$((($1 + 2) / 3))
	start "target$i" target --name "t$i" --data-centre "dc$rack" --rack "dc$rack-r1" \
		--address "127.0.0.1:$((base + 200 + i))" \
		--operator-address "127.0.0.1:$((base + 300 + i))" \
		--worker "http://127.0.0.1:$((base + 100 + i))" \
		--entry "127.0.0.1:$((base + 12))" --entry "127.0.0.1:$((base + 22))"
}

# The order of starts must not matter: a target comes first, before its worker and
# any entry, and the platform comes last.
start_target 1
sleep 0.5
for i in 6 5 4 3 2 1; do
	start "worker$i" standin-worker --address "127.0.0.1:$((base + 100 + i))"
done
for i in 1 2; do
	start "entry$i" entry --name "e$i" --data-centre "dc$i" \
		--caller-address "127.0.0.1:$((base + 10 * i + 1))" \
		--target-address "127.0.0.1:$((base + 10 * i + 2))" \
		--operator-address "127.0.0.1:$((base + 10 * i + 3))" \
		--platform "http://$platform"
done
for i in 2 3 4 5 6; do start_target "$i"; done
await "start of entry 1" 100 curl -fsS "$ops/health"
out=$("$bin" submit --entry "$e1" --workspace roller --kind cut-check 2>/dev/null)
check "request before the platform is up is not run" NotReady "$(field Reason <<<"$out")"
start platform standin-platform --address "$platform"

url=http://$platform
await "apply of the configuration" 50 "$bin" config apply --platform "$url" examples/quillfold/config.json
check "configuration is accepted" '"Name": "quillfold"' "$("$bin" config show --platform "$url" 2>&1)"

targets_ready() {
	local n
	n=$("$bin" status --process "$1" --json | grep -c '"Ready": *true')
	((n >= 7)) # the entry and six targets
}
await "readiness of all targets at entry 1" 100 targets_ready "$ops"
await "readiness of all targets at entry 2" 100 targets_ready "http://127.0.0.1:$((base + 23))"

submit() { "$bin" submit --entry "$@" 2>/dev/null; }

for i in 1 2 3; do
	out=$(submit "$e1" --workspace roller --kind cut-check --payload "{\"RunMillis\": 20, \"Result\": {\"Cut\": $i}}")
	check "short request $i ran" "\"Cut\": $i" "$out"
done

out=$(submit "$e2" --workspace roller --kind roll-nesting --workers 2 --accelerators 8 --adjacent rack \
	--payload '{"RunMillis": 500, "Result": "plan"}')
check "gang of two whole workers ran" Ran "$(field Outcome <<<"$out")"
check "gang's answer has both parts" 2 "$(grep -c '"plan"' <<<"$out")"

out=$(submit "$e2" --workspace roller --kind roll-nesting --workers 4 --accelerators 1 --payload '{"RunMillis": 100, "Result": "small"}')
check "gang of four small tasks has four parts" 4 "$(grep -c '"small"' <<<"$out")"

out=$(submit "$e1" --workspace roller --kind plan-release --key order-1 --payload '{"RunMillis": 50, "Result": "released"}')
check "non-idempotent request ran" Ran "$(field Outcome <<<"$out")"
job=$(field Job <<<"$out")
out=$(submit "$e2" --workspace roller --kind plan-release --key order-1 --payload '{"RunMillis": 50, "Result": "released"}')
check "its repetition at the other entry is the same job" "$job" "$(field Job <<<"$out")"
out=$(submit "$e2" --workspace roller --kind plan-release --key order-1 --payload '{"Result": "other"}')
check "its key is refused for another request" KeyConflict "$(field Reason <<<"$out")"
runs=0
for i in 1 2 3 4 5 6; do
	n=$(curl -fsS "http://127.0.0.1:$((base + 100 + i))/history" | grep -o "$job" | wc -l)
	runs=$((runs + n))
done
check "the workers ran it once" 1 "$runs"

out=$(submit "$e1" --wait 0s --workspace roller --kind offcut-renest --key night-1 --payload '{"RunMillis": 600000}')
check "job to look up later is accepted" night-1 "$(field Key <<<"$out")"
dispatched() { "$bin" job --entry "$e2" --wait 0s roller night-1 2>/dev/null | grep -q Dispatched; }
await "its dispatch" 50 dispatched
out=$("$bin" cancel --entry "$e2" roller night-1 2>/dev/null)
out=$("$bin" job --entry "$e1" --wait 10s roller night-1 2>/dev/null)
check "its cancellation at the other entry ends it" Unknown "$(field Outcome <<<"$out")"

out=$(submit "$e1" --workspace roller --kind roll-nesting --workers 2 --accelerators 9)
check "shape that can never fit is not run" NeverFits "$(field Reason <<<"$out")"
out=$(submit "$e1" --workspace nobody --kind cut-check)
check "unknown workspace is not run" Invalid "$(field Reason <<<"$out")"

curl -fsS -X POST "$url/fault" -d '{"Down": true}' >/dev/null
out=$(submit "$e1" --workspace roller --kind cut-check --payload '{"Result": "cut"}')
check "short request runs while the store is down" Ran "$(field Outcome <<<"$out")"
out=$(submit "$e1" --workspace roller --kind plan-release --key order-2)
check "non-idempotent request is not run while the store is down" StoreDown "$(field Reason <<<"$out")"
curl -fsS -X POST "$url/fault" -d '{}' >/dev/null

"$bin" status --process "$ops"

running_on() { # OPERATORS-URL KIND: prints the target of a running task of the kind
	"$bin" status --process "$1" | awk -v kind="$2" '$3 == kind && $7 != "" { print $5; exit }'
}
is_running() { [[ -n $(running_on "$@") ]]; }
millis() { date +%s%3N; }

# A long request is in flight when its entry and its target are asked to leave.
"$bin" submit --entry "$e1" --workspace roller --kind roll-nesting \
	--payload '{"RunMillis": 4000, "Result": "whole plan"}' >"$logs/long.json" 2>&1 &
long=$!
await "start of the long request" 50 is_running "$ops" roll-nesting
name=$(running_on "$ops" roll-nesting)
entry_pid=${pid_of[entry1]} target_pid=${pid_of[target${name#t}]}
kill -TERM "$entry_pid" "$target_pid"
sleep 0.5
out=$(submit "$e1" --workspace roller --kind cut-check)
check "leaving entry refuses new work" Leaving "$(field Reason <<<"$out")"
check "leaving entry is not ready" 503 "$(curl -s -o /dev/null -w '%{http_code}' "$ops/ready")"
out=$(submit "$e2" --workspace roller --kind cut-check --payload '{"Result": "cut"}')
check "the other entry serves on" Ran "$(field Outcome <<<"$out")"
wait "$long"
check "the long request was not cut short" "0 Ran 1" "$? $(field Outcome <"$logs/long.json") $(grep -c '"whole plan"' "$logs/long.json")"
wait "$entry_pid"
check "its entry has ended gracefully" "0" "$?"
wait "$target_pid"
check "its target $name has ended gracefully" "0" "$?"

# A second signal ends a process at once, whatever it holds.
ops2=http://127.0.0.1:$((base + 23))
"$bin" submit --entry "$e2" --workspace roller --kind plan-release --key order-3 \
	--payload '{"RunMillis": 20000}' >"$logs/cut.json" 2>&1 &
cut=$!
await "start of the request to be cut" 50 is_running "$ops2" plan-release
name=$(running_on "$ops2" plan-release)
target_pid=${pid_of[target${name#t}]}
kill -TERM "$target_pid"
sleep 0.3
check "target goes on after the first signal" 0 "$(kill -0 "$target_pid" && echo $?)"
begin=$(millis)
kill -TERM "$target_pid"
wait "$target_pid"
check "the second signal ends target $name with code 1" 1 "$?"
check "and at once" yes "$( (($(millis) - begin < 500)) && echo yes)"
# Its answer could still be there, until a new process takes its address.
start_target "${name#t}"
wait "$cut"
check "the outcome of its at-most-once request is unknown" "5 Unknown" "$? $(field Outcome <"$logs/cut.json")"

printf '\n%d failures, %d s, logs in %s\n' "$failures" "$SECONDS" "$logs"
exit $((failures > 0))
