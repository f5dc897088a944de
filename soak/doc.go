// Package soak runs the real programs as separate processes on one machine, injects
// faults from outside, and checks what callers and workers observe.
//
// The load and the faults of a run are drawn from a seed. Faults come in series, in
// which they can overlap, with fault-free periods in between. Every connection between
// programs and stand-ins passes through a Link, a proxy on loopback that can delay,
// reset or silence connections, or hold the data of one direction. Processes are
// killed, paused, shut down and reloaded by signals, and restarted when they have
// ended. The stand-ins for the store and the workers fail in the ways that the
// platform's documentation describes. Callers submit, look up and cancel jobs during
// the whole run and reuse their connections.
//
// After the load all faults end, and every accepted job must end, too. Seeds of runs
// that have failed are kept as cases of TestRegressions.
//
// # Usage
//
//	go run ./cmd/soak --seed 7 --length 30s
//	go run ./cmd/soak --seeds 50 --parallel 4
package soak
