package process_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/pipenet"
	"github.com/medlargrade/medlargrade/standin/worker"
)

// outage is a handler that loses, while it is down, all calls that arrive or are in progress.
// A lost call gets no answer, not even after the end of the outage, as after a loss of packets.
type outage struct {
	next http.Handler

	mu   sync.Mutex
	down bool
	seq  int // number of calls of set
}

func (o *outage) set(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
	o.seq++
}

func (o *outage) state() (bool, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down, o.seq
}

// ServeHTTP implements http.Handler.
func (o *outage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	down, begun := o.state()
	rec := httptest.NewRecorder()
	if !down {
		o.next.ServeHTTP(rec, r)
	}
	if _, now := o.state(); down || now != begun {
		_, _ = io.Copy(io.Discard, r.Body) // so that the server notices that the client has gone
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(rec.Code)
	_, _ = rec.Body.WriteTo(w)
}

const smallJob = `{"Spec": "{\"RunMillis\": 100}", "Steps": [{"Count": 1, "Cpu": 1000, "EstMs": 100}]}`

// tryUntilAccepted submits new jobs in short intervals until one is accepted, and returns its ID
// and the time that it took.
func (s *pathSite) tryUntilAccepted(first int) (string, time.Duration) {
	begin := time.Now()
	for i := range 1000 {
		id := fmt.Sprintf("%016x", first+i)
		code, _ := s.call("POST", "/a/"+id, "key1", smallJob)
		if code == http.StatusOK {
			return id, time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", time.Since(begin)
}

// Guards against callers that are refused, load balancers that are told to avoid the entries,
// and accepted jobs that wait, for more than a second after the store answers again. A call to
// the store that was lost in the outage must not delay the detection of its end.
func TestRecoveryAfterOutage(t *testing.T) {
	const acceptedWithin, readyWithin, startedWithin = 300 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond
	for i := range 12 {
		// The ends of the outages fall on different phases of the calls that were lost.
		length := 5*time.Second + time.Duration(i)*117*time.Millisecond
		t.Run(length.String(), func(t *testing.T) {
			withPathSite(t, func(s *pathSite) {
				s.submit(pathJobA, smallJob)
				s.waitState(pathJobA, "completed")
				s.outage.set(true)
				for begin := time.Now(); time.Since(begin) < length-600*time.Millisecond; {
					code, _ := s.call("POST", "/a/"+pathJobB, "key1", smallJob)
					qt.Check(t, code, qt.Equals, http.StatusServiceUnavailable)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(600 * time.Millisecond)
				s.outage.set(false)
				restored := time.Now()
				ready := make(chan time.Duration, 1)
				go func() {
					for time.Since(restored) < 10*time.Second {
						if code, _ := s.do("GET", "http://"+pathReady+"/ready", "", ""); code == http.StatusOK {
							break
						}
						time.Sleep(10 * time.Millisecond)
					}
					ready <- time.Since(restored)
				}()
				id, accepted := s.tryUntilAccepted(1)
				s.waitState(id, "completed")
				started := time.Since(restored) - 100*time.Millisecond
				readyAfter := <-ready
				t.Logf("accepted after %v, ready after %v, started after at most %v", accepted, readyAfter, started)
				qt.Check(t, accepted <= acceptedWithin, qt.IsTrue, qt.Commentf("accepted after %v", accepted))
				qt.Check(t, readyAfter <= readyWithin, qt.IsTrue, qt.Commentf("ready after %v", readyAfter))
				qt.Check(t, started <= startedWithin, qt.IsTrue, qt.Commentf("started after %v", started))
			})
		})
	}
}

// addTarget runs a further worker and its target.
func (s *pathSite) addTarget(i int) {
	workerHost, targetHost := fmt.Sprintf("10.2.0.%d", i), fmt.Sprintf("10.1.0.%d", i)
	client := s.net.Host(workerHost).HTTPClient()
	w := worker.New(s.workers, worker.Settings{
		Name: fmt.Sprintf("w%d", i), Pool: "pool", DataCentre: "dc1", Rack: fmt.Sprintf("r%d", i), Accelerators: 4, Address: workerHost + ":80", ReportAddress: targetHost + ":3",
	}, client, zerolog.Nop())
	s.serve(workerHost, workerHost+":80", w)
	s.run(func(ctx context.Context) error {
		w.Run(ctx)
		w.Crash()
		client.CloseIdleConnections()
		return nil
	})
	set := process.DefaultTargetSettings()
	set.Name, set.DataCentre, set.Platform, set.Config = fmt.Sprintf("t%d", i), "dc1", "http://"+pathStore, process.SourcePlatform
	set.Address, set.OperatorAddress, set.ReportAddress, set.Worker = targetHost+":1", targetHost+":2", targetHost+":3", "http://"+workerHost+":80"
	s.run(func(ctx context.Context) error {
		return process.RunTarget(ctx, set, s.network(targetHost), zerolog.Nop())
	})
}

// ownerHost returns the host of the process that owns the shard.
func (s *pathSite) ownerHost() string {
	row, ok := s.store.Row(shard.TableShard, process.ShardPart, shard.OwnerKey)
	qt.Assert(s.t, ok, qt.IsTrue)
	value, err := base64.StdEncoding.DecodeString(row.Value)
	qt.Assert(s.t, err, qt.IsNil)
	owner, err := shard.DecodeOwner(value)
	qt.Assert(s.t, err, qt.IsNil)
	host, _, err := net.SplitHostPort(owner.Address)
	qt.Assert(s.t, err, qt.IsNil)
	return host
}

// Guards against jobs that are not accepted, or are not started, for long after the process that
// plans has lost power: the new planner has to learn at once what runs on the workers.
func TestRecoveryAfterPlannerLoss(t *testing.T) {
	const targets = 12
	for i := range 8 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			withPathSite(t, func(s *pathSite) {
				for i := 2; i <= targets; i++ {
					s.addTarget(i)
				}
				// The kills fall on different phases of the holds.
				time.Sleep(3*time.Second + time.Duration(i)*137*time.Millisecond)
				owner := s.ownerHost()
				s.net.CutBoth(owner, pipenet.Any)
				defer s.net.HealBoth(owner, pipenet.Any)
				killed := time.Now()
				id, accepted := s.tryUntilAccepted(1)
				s.waitState(id, "completed")
				started := time.Since(killed) - 100*time.Millisecond
				t.Logf("accepted after %v, started after at most %v", accepted, started)
				qt.Check(t, accepted <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("accepted after %v", accepted))
				// The row is out of date after 1.2 s, and other processes notice within 0.6 s.
				qt.Check(t, started <= 1900*time.Millisecond, qt.IsTrue, qt.Commentf("started after %v", started))
			})
		})
	}
}
