// Package matrix tests the eight promises of docs/design.md under the faults that
// docs/proofs.md lists. It holds tests only.
//
// A Site runs the real entry and target processes, stand-ins for the platform and
// the workers, and callers in one testing/synctest bubble, with an in-memory network
// and the bubble's clock. Every message, row write and worker call is a step at which
// a fault can be injected. A history records the responses to callers, the runs on
// workers and the configuration that each entry has in force. Checkers, one for each
// promise, then look for violations in that history.
//
// # Usage
//
//	go test -race ./matrix
//	MATRIX_SEEDS=2000 go test -race ./matrix -run TestSequences
//	go test -race ./matrix -run 'TestSingleFaults/gang/run-start-after/vanish-target$'
//
// MATRIX_LOG=1 prints the processes' logs of failed cells. Cells that KNOWN-RED.txt
// lists are run, but log "known red" instead of failing.
package matrix
