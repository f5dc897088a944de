package shard

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

// panicPause is how long a process does not take over the shard after a panic in its
// planner, so that another process does.
const panicPause = 10 * time.Second

// panicError reports a panic in a goroutine of an owner.
type panicError struct {
	goroutine string
	value     any
}

func (e *panicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.goroutine, e.value) }

// protect calls f. A panic in it ends the ownership instead of the process, whose agent
// renews the leases of its worker.
func (o *owner) protect(goroutine string, cancel context.CancelCauseFunc, f func()) {
	defer func() {
		if v := recover(); v != nil {
			o.deps.Log.Error().Int("Event", EventPanicked).Str("Goroutine", goroutine).Str("Panic", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).
				Msg("this process gives up the shard after a panic")
			cancel(&panicError{goroutine, v})
		}
	}()
	f()
}

// goProtected calls f in a goroutine of wg, as protect does.
func (o *owner) goProtected(wg *sync.WaitGroup, goroutine string, f func()) {
	wg.Go(func() { o.protect(goroutine, o.cancel, f) })
}
