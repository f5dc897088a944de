package matrix

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/state/job"
)

// phase says on which side of a step's effect a fault strikes.
type phase string

const (
	before phase = "before" // the request has not left the caller
	after  phase = "after"  // the request has taken effect, its reply has not left
)

// point is a step and a side of it.
type point struct {
	step  string
	phase phase
}

func (p point) String() string { return p.step + "-" + string(p.phase) }

// hit is one occurrence of a point, between two hosts.
type hit struct {
	point
	from, to string // the sender of the message that is about to leave, and its receiver
}

// trigger fires once, at the nth occurrence of a point after it was armed.
type trigger struct {
	point
	nth  int
	seen int
	fire func(hit)
}

// observer sees every step. Its methods are safe for concurrent use.
type observer struct {
	mu       sync.Mutex
	armed    bool
	counts   map[point]int // since it was armed
	triggers []*trigger
	fires    sync.WaitGroup // of faults that have not ended
}

func newObserver() *observer { return &observer{counts: make(map[point]int)} }

// arm starts to count and to watch for the triggers.
func (o *observer) arm(triggers ...*trigger) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.armed = true
	o.triggers = append(o.triggers, triggers...)
}

func (o *observer) snapshot() map[point]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[point]int, len(o.counts))
	for p, n := range o.counts {
		out[p] = n
	}
	return out
}

// hit counts an occurrence and fires its triggers before it returns, so that the
// fault takes effect before the message leaves.
func (o *observer) hit(p point, from, to string) {
	o.mu.Lock()
	if !o.armed {
		o.mu.Unlock()
		return
	}
	o.counts[p]++
	var due []*trigger
	for _, t := range o.triggers {
		if t.point != p {
			continue
		}
		if t.seen++; t.seen == t.nth {
			o.fires.Add(1)
			due = append(due, t)
		}
	}
	o.mu.Unlock()
	for _, t := range due {
		t.fire(hit{point: p, from: from, to: to})
	}
}

// done notes the end of a fault.
func (o *observer) done() { o.fires.Done() }

// disarm waits for the ends of the faults, and lets none strike any more.
func (o *observer) disarm() {
	o.mu.Lock()
	o.armed = false
	o.mu.Unlock()
	o.fires.Wait()
}

// observed reports the steps of a stand-in's requests once they have taken
// effect and before their replies leave. seen may be nil; it is called with
// status 0 when a request arrives and with its status before the reply leaves.
func observed(obs *observer, host string, next http.Handler, seen func(path string, body []byte, status int)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if seen != nil {
			seen(r.URL.Path, body, 0)
		}
		ow := &observedWriter{ResponseWriter: w}
		ow.first = func(status int) {
			if seen != nil {
				seen(r.URL.Path, body, status)
			}
			if status != http.StatusOK {
				return
			}
			for _, s := range httpSteps(r.URL.Path, body) {
				obs.hit(point{s, after}, host, hostOf(r.RemoteAddr))
			}
		}
		next.ServeHTTP(ow, r)
	})
}

type observedWriter struct {
	http.ResponseWriter
	first   func(status int)
	written bool
}

// WriteHeader reports the reply.
func (w *observedWriter) WriteHeader(status int) {
	if !w.written {
		w.written = true
		w.first(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write reports the reply.
func (w *observedWriter) Write(b []byte) (int, error) {
	if !w.written {
		w.written = true
		w.first(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// httpSteps returns the names of the steps that a request to a stand-in makes. The
// stand-ins' own control paths are none.
func httpSteps(path string, body []byte) []string {
	name, ok := strings.CutPrefix(path, "/medlargrade/")
	if !ok {
		return nil
	}
	name, _, _ = strings.Cut(name, "/")
	switch name {
	case "rows-tx":
		return rowSteps(body)
	case "rows-get", "rows-feed", "blob-put", "blob-get", "run-start", "run-stop", "hold":
		return []string{name}
	}
	return nil
}

// rowSteps names a transaction by the most telling row that it writes.
func rowSteps(body []byte) []string {
	var tx struct {
		Writes []struct{ Table, Key string }
		Remove []struct{ Table, Key string }
	}
	if json.Unmarshal(body, &tx) != nil {
		return nil
	}
	best := -1
	for _, w := range append(tx.Writes, tx.Remove...) {
		step := w.Table
		if _, cancel := job.ParseJobsKey(w.Key); step == job.TableJobs && cancel {
			step = "cancel"
		}
		best = max(best, slices.Index(rowOrder, step))
	}
	if best < 0 {
		return []string{"row-other"}
	}
	return []string{"row-" + rowOrder[best]}
}

// rowOrder has the tables that are written, the least telling first.
var rowOrder = []string{
	shard.TableShard, job.TableWaiting, job.TableIdempotencyKeys, shard.TableTargets, configuration.Table, job.TableProgress, job.TableJobs, "cancel",
}
