// Package bench measures the assembled processes over real TCP connections on
// loopback, with stand-ins for the platform and the workers. It has benchmarks
// and small measuring programs only; docs/performance.md and docs/CAPACITY.md
// have the results.
//
// # Usage
//
//	go test -run '^$' -bench . ./bench
//	bash scripts/rest-memory.sh
//
// All parts of a benchmark share one process and its processors, so the figures
// contain the time of the stand-ins and of the callers.
package bench
