package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/operator"
)

// Guards against the refusal of a burst after a quiet time on an idle site: a queue
// that is empty nearly always drains as slowly as requests arrive, so that rate says
// nothing about how long a request has to wait.
func TestBurstAfterQuietTime(t *testing.T) {
	q := NewQueue(config(1000, 8))
	take := func(now time.Time) { q.Scan(now, func(Item) Decision { return Take }) }
	push := func(id string, now time.Time) bool {
		it := item(id, "w0", operator.ClassShort)
		it.Deadline = now.Add(10 * time.Second)
		_, ok := q.Push(it, now)
		return ok
	}
	qt.Assert(t, push("first", start), qt.IsTrue)
	take(start)
	now := at(5 * time.Second)
	for i := range 50 {
		qt.Assert(t, push(fmt.Sprint(i), now), qt.IsTrue, qt.Commentf("request %d of the burst", i))
	}
}
