#!/usr/bin/env bash
# Starts a simulated platform with workers, two entries and six targets as separate
# processes on loopback, applies an example configuration, runs jobs of every kind,
# stops processes while jobs run, and checks each outcome. Exits 0 only if all checks
# pass. Needs bash and the binary only.
set -uo pipefail
cd "$(dirname "$0")/.."

bin=bin/medlargrade
logs=$(mktemp -d)
pids=()
declare -A pid_of
failures=0
out= code= log= # of the last call

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

# check compares a value with what is wanted. On a difference it also prints the answer of the
# last call, and names the log that says more.
check() { # DESCRIPTION WANTED ACTUAL
	if [[ $3 == "$2" ]]; then
		printf 'ok    %s\n' "$1"
		return
	fi
	printf 'FAIL  %s\n      wanted: %s\n      got:    %s\n' "$1" "$2" "${3:-nothing}"
	printf '      answer: %s\n      log:    %s\n' "${out:-none}" "$logs/${log:-standin}.log"
	failures=$((failures + 1))
}

# check_answer checks that the answer to the last call contains a text.
check_answer() { # DESCRIPTION WANTED
	if [[ $out == *"$2"* ]]; then
		check "$1" "$2" "$2"
	else
		check "$1" "$2" ""
	fi
}

field() { sed -n "s/^  \"$1\": \"\\(.*\\)\",\\{0,1\\}\$/\\1/p" <<<"$out" | head -1; }

# check_field checks a field of the answer to the last call.
check_field() { # DESCRIPTION FIELD WANTED
	check "$1" "$3" "$(field "$2")"
}

# await repeats a command until it succeeds, at most for the given number of seconds.
await() { # DESCRIPTION SECONDS COMMAND...
	local what=$1 end=$((SECONDS + $2))
	shift 2
	while ((SECONDS < end)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	printf 'FAIL  %s did not happen\n      log:    %s\n' "$what" "$logs"
	failures=$((failures + 1))
	return 1
}

# request sends a request to a local address and prints the body of the answer. It fails
# unless the answer is a success.
request() { # METHOD URL [BODY]
	local address=${2#http://} path=/ line status body=${3:-}
	local host=${address%%/*}
	[[ $address == */* ]] && path=/${address#*/}
	exec 3<>"/dev/tcp/${host%:*}/${host#*:}" || return 1
	printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$1" "$path" "$host" "${#body}" "$body" >&3
	read -r _ status _ <&3
	while read -r line <&3 && [[ $line != $'\r' ]]; do :; done
	cat <&3
	exec 3>&-
	[[ $status == 2* ]]
}

# call runs a command of a caller at an entry, and sets out, code and log.
call() { # ENTRY COMMAND...
	local entry=$1 command=$2
	shift 2
	log=entry$entry
	out=$("$bin" "$command" --entry "$(entry_url "$entry")" "$@" 2>"$logs/stderr")
	code=$?
}

# read_answer sets out, code and log to those of a call that ran in the background.
read_answer() { # ENTRY FILE PID
	log=entry$1
	wait "$3"
	code=$?
	out=$(<"$2")
}

listens() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# The ports used are those from base to base + 406.
base=${DEMO_PORT:-17000}
while listens "$base" || listens "$((base + 11))" || listens "$((base + 101))" || listens "$((base + 201))"; do base=$((base + 500)); done
platform=127.0.0.1:$base
url=http://$platform
entry_url() { echo "http://127.0.0.1:$((base + 10 * $1 + 1))"; }
operator_url() { echo "http://127.0.0.1:$((base + 10 * $1 + 3))"; }
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
await "start of target 1" 20 request GET "http://127.0.0.1:$((base + 301))/health"
for i in 1 2; do
	start "entry$i" entry --name "e$i" --data-centre "dc$i" \
		--caller-address "127.0.0.1:$((base + 10 * i + 1))" \
		--operator-address "127.0.0.1:$((base + 10 * i + 3))" \
		--platform "$url" --drain-time 20s
done
for i in 2 3 4 5 6; do start_target "$i"; done
await "start of entry 1" 20 request GET "$(operator_url 1)/health"
call 1 submit --workspace roller --kind cut-check
check_field "request before the platform is up is not run" Reason NotReady
start standin standin --address "$platform" --workers 6 --worker-port "$((base + 101))" --report-port "$((base + 401))"

await "apply of the configuration" 20 "$bin" config apply --platform "$url" examples/quillfold/config.json
out=$("$bin" config show --platform "$url" 2>&1) log=standin
check_answer "configuration is accepted" '"Name": "quillfold"'

answering() { (($("$bin" status --platform "$url" | grep -c answers) >= 6)); }
await "announcement of all targets" 20 answering
await "readiness of entry 1" 20 request GET "$(operator_url 1)/ready"
await "readiness of entry 2" 20 request GET "$(operator_url 2)/ready"

for i in 1 2 3; do
	call 1 submit --workspace roller --kind cut-check --payload "{\"RunMillis\": 20, \"Result\": {\"Cut\": $i}}"
	check_answer "short request $i ran" "\"Cut\": $i"
done

call 2 submit --workspace roller --kind roll-nesting --workers 2 --accelerators 8 --adjacent rack \
	--payload '{"RunMillis": 500, "Result": "plan"}'
check_field "gang of two whole workers ran" Outcome Ran
check "gang's answer has both parts" 2 "$(grep -c '"plan"' <<<"$out")"

call 2 submit --workspace roller --kind roll-nesting --workers 4 --accelerators 1 --payload '{"RunMillis": 100, "Result": "small"}'
check "gang of four small tasks has four parts" 4 "$(grep -c '"small"' <<<"$out")"

# runs prints how often the workers have started the first task of a job.
runs() { request GET "$(worker_url 1)/history" | grep -o "\"$1\.0\.0\.0\"" | wc -l; }

call 1 submit --workspace roller --kind plan-release --key order-1 --payload '{"RunMillis": 50, "Result": "released"}'
check_field "non-idempotent request ran" Outcome Ran
job=$(field Job)
call 2 submit --workspace roller --kind plan-release --key order-1 --payload '{"RunMillis": 50, "Result": "released"}'
check_field "its repetition at the other entry is the same job" Job "$job"
call 2 submit --workspace roller --kind plan-release --key order-1 --payload '{"Result": "other"}'
check_field "its key is refused for another request" Reason KeyConflict
check "the workers ran it once" 1 "$(runs "$job")"

call 1 submit --wait 0s --workspace roller --kind offcut-renest --key night-1 --payload '{"RunMillis": 600000}'
check_field "job to look up later is accepted" Key night-1
dispatched() { "$bin" job --entry "$(entry_url 2)" --wait 0s roller night-1 2>/dev/null | grep -q Dispatched; }
await "its dispatch" 20 dispatched
call 2 cancel roller night-1
call 1 job --wait 10s roller night-1
check_field "its cancellation at the other entry ends it" Outcome Unknown

call 1 submit --workspace roller --kind roll-nesting --workers 2 --accelerators 9
check_field "shape that can never fit is not run" Reason NeverFits
call 1 submit --workspace nobody --kind cut-check
check_field "unknown workspace is not run" Reason Invalid

# While the store is down, an entry can't know whether a job with a key is recorded.
request POST "$url/fault" '{"Down": "Busy"}' >/dev/null
call 1 submit --workspace roller --kind plan-release
check_field "request without a key is not run while the store is down" Reason StoreDown
call 1 submit --workspace roller --kind plan-release --key order-2 --payload '{"Result": "late"}'
check "outcome of a request with a key is unknown while the store is down" "5 Unknown" "$code $(field Outcome)"
check_answer "its answer says when to come back" RetryAfter
request POST "$url/fault" '{}' >/dev/null

served_again() { "$bin" submit --entry "$(entry_url 1)" --workspace roller --kind cut-check 2>/dev/null | grep -q Ran; }
await "service after the outage" 20 served_again
call 1 submit --workspace roller --kind plan-release --key order-2 --payload '{"Result": "late"}'
check "the same key ran after the outage" "Ran 1" "$(field Outcome) $(grep -c '"late"' <<<"$out")"
check "the workers ran it once" 1 "$(runs "$(field Job)")"

"$bin" status --platform "$url"

millis() { date +%s%3N; }
planner() { "$bin" status --platform "$url" | sed -n 's/.*planner t\([0-9]\).*/\1/p'; }
running() { "$bin" status --platform "$url" | grep -q "$1 .*running"; }

# A long request is in progress when its entry is terminated gracefully and the target
# process that is the planner is killed.
"$bin" submit --entry "$(entry_url 1)" --wait 3s --workspace roller --kind roll-nesting --key night-2 \
	--payload '{"RunMillis": 5000, "Result": "whole plan"}' >"$logs/long.json" 2>"$logs/long.err" &
long=$!
await "start of the long request" 20 running roll-nesting
n=$(planner)
kill -KILL "${pid_of[target$n]}"
wait "${pid_of[target$n]}" 2>/dev/null
entry_pid=${pid_of[entry1]}
kill -TERM "$entry_pid"
call 2 submit --workspace roller --kind cut-check --payload '{"Result": "cut"}'
check_field "the other entry serves on under another planner" Outcome Ran
read_answer 1 "$logs/long.json" "$long"
check "the waiting caller was told the state of its job" "0 Dispatched" "$code $(field State)"
wait "$entry_pid"
check "the entry has ended gracefully" "0" "$?"
start_target "$n"
call 2 job --wait 20s roller night-2
check "the long request ran to its end" "Ran 1" "$(field Outcome) $(grep -c '"whole plan"' <<<"$out")"

# A worker drains and leaves while a job runs on it.
call 2 submit --wait 0s --workspace roller --kind roll-nesting --key night-3 --payload '{"RunMillis": 3000, "Result": "moved plan"}'
where() { "$bin" dump --process "http://127.0.0.1:$((base + 300 + $(planner)))" | grep -o '"Target": *"t[0-9]"' | head -1 | tr -dc 0-9; }
await "start of the job" 20 running roll-nesting
w=$(where)
request POST "$(worker_url "${w:-1}")/drain" '{"Millis": 1500}' >/dev/null
call 2 job --wait 20s roller night-3
check "job of a leaving worker runs to its end elsewhere" "Ran 1" "$(field Outcome) $(grep -c '"moved plan"' <<<"$out")"

# The worker of an at-most-once request crashes.
"$bin" submit --entry "$(entry_url 2)" --wait 20s --workspace roller --kind plan-release --key order-3 \
	--payload '{"RunMillis": 8000}' >"$logs/cut.json" 2>"$logs/cut.err" &
cut=$!
await "start of the request to be cut" 20 running plan-release
w=$(where)
request POST "$(worker_url "${w:-1}")/crash" >/dev/null
request POST "$(worker_url "${w:-1}")/restart" >/dev/null
read_answer 2 "$logs/cut.json" "$cut"
check "the outcome of its at-most-once request is unknown" "5 Unknown" "$code $(field Outcome)"

# A task that crashes each worker that starts it is given up.
call 2 submit --wait 60s --workspace roller --kind cut-check --payload '{"RunMillis": 500, "CrashMillis": 10}'
check "job whose task crashes its workers has failed" "1 Ran" "$code $(field Outcome)"
check_answer "its answer says why" "2 workers crashed while they ran this task"

# An entry that is terminated gracefully does not wait for the jobs of its callers.
"$bin" submit --entry "$(entry_url 2)" --wait 15s --workspace roller --kind roll-nesting --key night-4 \
	--payload '{"RunMillis": 15000}' >"$logs/last.json" 2>"$logs/last.err" &
last=$!
await "start of the last request" 20 running roll-nesting
entry_pid=${pid_of[entry2]}
begin=$(millis)
kill -TERM "$entry_pid"
read_answer 2 "$logs/last.json" "$last"
check "its caller was told the state of its job" "0 Dispatched" "$code $(field State)"
wait "$entry_pid"
check "the entry has ended gracefully" "0" "$?"
took=$(($(millis) - begin))
check "and soon" yes "$( ((took < 2000)) && echo yes || echo "after $took ms")"

printf '\n%d failures, %d s, logs in %s\n' "$failures" "$SECONDS" "$logs"
exit $((failures > 0))
