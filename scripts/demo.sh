#!/usr/bin/env bash
# Starts a simulated platform with workers, two entries and six targets as separate
# processes on loopback, applies an example configuration, runs jobs of every kind,
# stops processes while jobs run, and checks each outcome. Exits 0 only if all checks
# pass.
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
	# Processes are stopped in reverse order of their start.
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
url=http://$platform
e1=http://127.0.0.1:$((base + 11)) e2=http://127.0.0.1:$((base + 21))
ops=http://127.0.0.1:$((base + 13)) ops2=http://127.0.0.1:$((base + 23))
worker_url() { echo "http://127.0.0.1:$((base + 100 + $1))"; }

start_target() { # NUMBER
	local i=$1
	start "target$i" target --name "t$i" --data-centre "dc$((($1 + 2) / 3))" \
		--address "127.0.0.1:$((base + 200 + i))" \
		--operator-address "127.0.0.1:$((base + 300 + i))" \
		--report-address "127.0.0.1:$((base + 400 + i))" \
		--worker "$(worker_url "$i")" --platform "$url"
}

# Processes must be able to start in any order. Here a target starts first, before its
# worker and any entry, and the platform starts last.
start_target 1
sleep 0.5
for i in 1 2; do
	start "entry$i" entry --name "e$i" --data-centre "dc$i" \
		--caller-address "127.0.0.1:$((base + 10 * i + 1))" \
		--operator-address "127.0.0.1:$((base + 10 * i + 3))" \
		--platform "$url" --drain-time 20s
done
for i in 2 3 4 5 6; do start_target "$i"; done
await "start of entry 1" 100 curl -fsS "$ops/health"
out=$("$bin" submit --entry "$e1" --workspace roller --kind cut-check 2>/dev/null)
check "request before the platform is up is not run" NotReady "$(field Reason <<<"$out")"
start standin standin --address "$platform" --workers 6 --worker-port "$((base + 101))" --report-port "$((base + 401))"

await "apply of the configuration" 50 "$bin" config apply --platform "$url" examples/quillfold/config.json
check "configuration is accepted" '"Name": "quillfold"' "$("$bin" config show --platform "$url" 2>&1)"

answering() { (($("$bin" status --platform "$url" | grep -c answers) >= 6)); }
await "announcement of all targets" 100 answering
await "readiness of entry 1" 100 curl -fsS "$ops/ready"
await "readiness of entry 2" 100 curl -fsS "$ops2/ready"

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
runs=$(curl -fsS "$(worker_url 1)/history" | grep -o "\"$job\.0\.0\.0\"" | wc -l)
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

curl -fsS -X POST "$url/fault" -d '{"Down": "Busy"}' >/dev/null
out=$(submit "$e1" --workspace roller --kind plan-release --key order-2)
check "request is not run while the store is down" StoreDown "$(field Reason <<<"$out")"
curl -fsS -X POST "$url/fault" -d '{}' >/dev/null

served_again() { [[ $(submit "$e1" --workspace roller --kind cut-check) == *Ran* ]]; }
await "service after the outage" 50 served_again

"$bin" status --platform "$url"

millis() { date +%s%3N; }
planner() { "$bin" status --platform "$url" | sed -n 's/.*planner t\([0-9]\).*/\1/p'; }
running() { "$bin" status --platform "$url" | grep -q "$1 .*running"; }

# A long request is in progress when its entry is terminated gracefully and the target
# process that is the planner is killed.
"$bin" submit --entry "$e1" --wait 3s --workspace roller --kind roll-nesting --key night-2 \
	--payload '{"RunMillis": 5000, "Result": "whole plan"}' >"$logs/long.json" 2>&1 &
long=$!
await "start of the long request" 50 running roll-nesting
n=$(planner)
kill -KILL "${pid_of[target$n]}"
entry_pid=${pid_of[entry1]}
kill -TERM "$entry_pid"
sleep 0.3
out=$(submit "$e2" --workspace roller --kind cut-check --payload '{"Result": "cut"}')
check "the other entry serves on under another planner" Ran "$(field Outcome <<<"$out")"
wait "$long"
check "the waiting caller was told the state of its job" "0 Dispatched" "$? $(field State <"$logs/long.json")"
wait "$entry_pid"
check "the entry has ended gracefully" "0" "$?"
start_target "$n"
out=$("$bin" job --entry "$e2" --wait 20s roller night-2 2>/dev/null)
check "the long request ran to its end" "Ran 1" "$(field Outcome <<<"$out") $(grep -c '"whole plan"' <<<"$out")"

# A worker drains and leaves while a job runs on it.
"$bin" submit --entry "$e2" --wait 0s --workspace roller --kind roll-nesting --key night-3 \
	--payload '{"RunMillis": 3000, "Result": "moved plan"}' >/dev/null 2>&1
where() { "$bin" dump --process "http://127.0.0.1:$((base + 300 + $(planner)))" | grep -o '"Target": *"t[0-9]"' | head -1 | tr -dc 0-9; }
await "start of the job" 50 running roll-nesting
w=$(where)
curl -fsS -X POST "$(worker_url "${w:-1}")/drain" -d '{"Millis": 1500}' >/dev/null
out=$("$bin" job --entry "$e2" --wait 20s roller night-3 2>/dev/null)
check "job of a leaving worker runs to its end elsewhere" "Ran 1" "$(field Outcome <<<"$out") $(grep -c '"moved plan"' <<<"$out")"

# The worker of an at-most-once request crashes.
"$bin" submit --entry "$e2" --wait 20s --workspace roller --kind plan-release --key order-3 \
	--payload '{"RunMillis": 8000}' >"$logs/cut.json" 2>&1 &
cut=$!
await "start of the request to be cut" 50 running plan-release
w=$(where)
curl -fsS -X POST "$(worker_url "${w:-1}")/crash" >/dev/null
curl -fsS -X POST "$(worker_url "${w:-1}")/restart" >/dev/null
wait "$cut"
check "the outcome of its at-most-once request is unknown" "5 Unknown" "$? $(field Outcome <"$logs/cut.json")"

# An entry that is terminated gracefully does not wait for the jobs of its callers.
"$bin" submit --entry "$e2" --wait 15s --workspace roller --kind roll-nesting --key night-4 \
	--payload '{"RunMillis": 15000}' >"$logs/last.json" 2>&1 &
last=$!
await "start of the last request" 50 running roll-nesting
entry_pid=${pid_of[entry2]}
begin=$(millis)
kill -TERM "$entry_pid"
wait "$last"
check "its caller was told the state of its job" "0 Dispatched" "$? $(field State <"$logs/last.json")"
wait "$entry_pid"
check "the entry has ended gracefully" "0" "$?"
check "and soon" yes "$( (($(millis) - begin < 2000)) && echo yes)"

printf '\n%d failures, %d s, logs in %s\n' "$failures" "$SECONDS" "$logs"
exit $((failures > 0))
