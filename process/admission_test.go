package process_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/process"
)

// wideJob takes all accelerators of the site for 5 s. Its route has priority 0, and workspace t2
// has no guarantee.
const wideJob = `{"Spec": "{\"RunMillis\": 5000}", "Steps": [{"Count": 1, "Cpu": 1000, "Gpu": 4, "EstMs": 5000}]}`

func wideID(i int) string { return fmt.Sprintf("%016x", i) }

// Guards against a new planner that publishes the load before it knows all workers.
func TestNewPlannerPublishesLater(t *testing.T) {
	runPathSite(t, true, func(s *pathSite) {
		s.flood()
		qt.Check(t, s.stopTarget(), qt.IsNil)
		// The former planner may have published the load while it stopped.
		before, ok := s.store.Row(admission.Table, process.ShardPart, admission.CurrentKey)
		qt.Assert(t, ok, qt.IsTrue)
		s.stopTarget = s.runTarget()
		version := func() uint64 {
			row, _ := s.store.Row(admission.Table, process.ShardPart, admission.CurrentKey)
			return row.Version
		}
		time.Sleep(admission.MaxRowAge)
		qt.Check(t, version(), qt.Equals, before.Version)
		time.Sleep(3 * time.Second)
		qt.Check(t, version() > before.Version, qt.IsTrue)
	})
}

// flood submits wide jobs that take longer than a further one can wait, and waits until the
// load is published.
func (s *pathSite) flood() {
	s.t.Helper()
	for i := range 100 {
		code, reply := s.call("POST", "/a/"+wideID(i), "key3", wideJob)
		qt.Assert(s.t, code, qt.Equals, http.StatusOK, qt.Commentf("%s", reply))
	}
	time.Sleep(3500 * time.Millisecond)
}

// Guards against a refusal of a job of which something is written, or that can be of value, and
// against the acceptance of one that certainly can't; also after faults of what entries know.
func TestAdmission(t *testing.T) {
	const next = 1000
	tests := []struct {
		name      string
		admission bool
		fault     func(s *pathSite)
		key, body string
		want      int
	}{
		{name: "switched off", key: "key3", body: wideJob, want: http.StatusOK},
		{name: "flood", admission: true, key: "key3", body: wideJob, want: http.StatusServiceUnavailable},
		{name: "guaranteed", admission: true, key: "key1", body: wideJob, want: http.StatusOK},
		{name: "needs no accelerator", admission: true, key: "key3", body: smallJob, want: http.StatusOK},
		{name: "malformed", admission: true, key: "key3", body: "{", want: http.StatusBadRequest},
		{name: "row malformed", admission: true, key: "key3", body: wideJob, want: http.StatusOK, fault: func(s *pathSite) {
			qt.Check(s.t, s.stopTarget(), qt.IsNil) // so that the row is not published again
			s.store.Put(admission.Table, admission.CurrentKey, []byte("{"))
			time.Sleep(10 * time.Millisecond)
		}},
		{name: "no planner", admission: true, key: "key3", body: wideJob, want: http.StatusOK, fault: func(s *pathSite) {
			qt.Check(s.t, s.stopTarget(), qt.IsNil)
			time.Sleep(admission.MaxRowAge)
		}},
		{name: "no planner after an outage", admission: true, key: "key3", body: wideJob, want: http.StatusOK, fault: func(s *pathSite) {
			qt.Check(s.t, s.stopTarget(), qt.IsNil)
			s.outage.set(true)
			time.Sleep(5 * time.Second)
			s.outage.set(false)
			time.Sleep(300 * time.Millisecond)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runPathSite(t, tt.admission, func(s *pathSite) {
				s.flood()
				if tt.fault != nil {
					tt.fault(s)
				}
				code, reply := s.call("POST", "/a/"+wideID(next), tt.key, tt.body)
				qt.Check(t, code, qt.Equals, tt.want, qt.Commentf("%s", reply))
				_, recorded := s.store.Job(process.ShardPart, wideID(next))
				qt.Check(t, recorded, qt.Equals, tt.want == http.StatusOK)
				// A job that is recorded is never said to be refused.
				code, _ = s.call("POST", "/a/"+wideID(0), "key3", wideJob)
				qt.Check(t, code, qt.Equals, http.StatusOK)
			})
		})
	}
}

// Guards against transactions that are made only to publish the load, and against a load that is
// published without the setting.
func TestLoadIsPublishedWithOtherRows(t *testing.T) {
	writes := make(map[bool]int)
	for _, on := range []bool{false, true} {
		runPathSite(t, on, func(s *pathSite) {
			s.flood()
			before := s.store.Counts().Writes
			first, ok := s.store.Row(admission.Table, process.ShardPart, admission.CurrentKey)
			qt.Check(t, ok, qt.Equals, on)
			time.Sleep(1500 * time.Millisecond)
			second, _ := s.store.Row(admission.Table, process.ShardPart, admission.CurrentKey)
			qt.Check(t, first.Version < second.Version, qt.Equals, on)
			time.Sleep(10 * time.Second)
			writes[on] = s.store.Counts().Writes - before
		})
	}
	qt.Check(t, writes[true] <= writes[false]+1, qt.IsTrue, qt.Commentf("%v", writes))
}
