// Package matrix proves the eight promises of docs/design.md under the faults that
// docs/proofs.md lists. It holds tests only.
//
// A Site runs the real entry and target processes, the stand-ins of the platform
// and of the workers, and callers in one testing/synctest bubble, over an
// in-memory network and with a paused clock. Every message, row write and worker
// call is a step at which a fault can be injected. What callers were told, what
// the workers ran and which configuration each process held is recorded, and
// checkers, one for each promise, judge that history.
//
// # Usage
//
//	go test -race ./matrix
//	MATRIX_SEEDS=2000 go test -race ./matrix -run TestSequences
//	go test -race ./matrix -run 'TestSingleFaults/gang/run-start-after/vanish-target$'
//
// MATRIX_LOG=1 prints the processes' logs of failed cells. Cells that
// KNOWN-RED.txt lists are run, and print "known red" instead of failing.
package matrix
