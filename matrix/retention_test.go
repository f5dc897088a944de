package matrix

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/executor"
)

// Guards against an attempt that counts as not run because its target no longer
// keeps its record: a key that comes back after the retention must not run twice.
func TestKeyAfterRetention(t *testing.T) {
	once(t)
	for _, p := range []point{{"worker-launch", after}, {"Start", before}, {"Start", after}, {"row-end", before}} {
		t.Run(p.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				kill := faults[0]
				qt.Assert(t, kill.name, qt.Equals, "kill-entry")
				s.obs.arm(kill.at(s, p, 1))
				r := order("order", 500*time.Millisecond)
				// The caller gives up after its first try and comes back late.
				c := &callerRun{s: s, req: r, client: s.net.Host(callerHost).HTTPClient()}
				c.try()
				c.client.CloseIdleConnections()
				s.obs.disarm()
				time.Sleep(executor.Retention + time.Minute)
				s.do(r)
				s.finish()
				s.close()
				verdict(t, s.hist)
			})
		})
	}
}
