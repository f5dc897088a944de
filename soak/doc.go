// Package soak runs the real programs as separate processes on one machine, strikes
// them with faults from outside, and checks what callers and workers see.
//
// A run is drawn from a seed: its size, its load, and series of faults that overlap
// and leave calm times between them. Every connection of the programs goes through a
// Link, a proxy on loopback that can delay, reset, silence and cut connections in one
// direction. Processes are killed, paused, asked to leave and started again by
// signals. The stand-ins for the store and the workers misbehave in the ways that the
// platform's pages name. Callers submit, look up and cancel jobs all the while and
// keep their connections as long as they can.
//
// At the end all faults are over, and every accepted job must come to its end. A run
// whose seed has failed once stays as a case of TestRegressions.
//
// # Usage
//
//	go run ./cmd/soak --seed 7 --length 30s
//	go run ./cmd/soak --seeds 50 --parallel 4
package soak
