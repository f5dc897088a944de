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

// phase says whether a fault is injected before or after the effect of a step.
type phase string

const (
	before phase = "before" // the request has not been sent
	after  phase = "after"  // the request has taken effect, its reply has not been sent
)

// point is a place at which a fault can be injected: a step and a phase.
type point struct {
	step  string
	phase phase
}

func (p point) String() string { return p.step + "-" + string(p.phase) }

// hit is one occurrence of a point, between two hosts.
type hit struct {
	point
	from, to string // sender and receiver of the message that is about to be sent
}

// trigger fires once, at the nth occurrence of a point after the trigger was armed.
type trigger struct {
	point
	nth  int
	hits int
	fire func(hit)
}

// observer counts the occurrences of points and fires triggers at them. Its methods
// are safe for concurrent use.
type observer struct {
	mu           sync.Mutex
	armed        bool
	counts       map[point]int // since the observer was armed
	triggers     []*trigger
	activeFaults sync.WaitGroup
}

func newObserver() *observer { return &observer{counts: make(map[point]int)} }

// arm starts the counting of occurrences and adds triggers.
func (o *observer) arm(triggers ...*trigger) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.armed = true
	o.triggers = append(o.triggers, triggers...)
}

func (o *observer) pointCounts() map[point]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[point]int, len(o.counts))
	for p, n := range o.counts {
		out[p] = n
	}
	return out
}

// hit counts an occurrence and fires its triggers before it returns, so that the
// fault takes effect before the message is sent.
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
		if t.hits++; t.hits == t.nth {
			o.activeFaults.Add(1)
			due = append(due, t)
		}
	}
	o.mu.Unlock()
	for _, t := range due {
		t.fire(hit{point: p, from: from, to: to})
	}
}

// faultDone reports the end of a fault that a trigger started.
func (o *observer) faultDone() { o.activeFaults.Done() }

// disarm stops the counting and the triggers and waits until all faults have ended.
func (o *observer) disarm() {
	o.mu.Lock()
	o.armed = false
	o.mu.Unlock()
	o.activeFaults.Wait()
}

// observeRequests wraps the handler of a stand-in. It reports the steps of each
// successful request after they have taken effect and before the reply is sent.
// onRequest may be nil; it is called with status 0 when a request arrives and with
// the status of the reply before that is sent.
func observeRequests(obs *observer, host string, next http.Handler, onRequest func(path string, body []byte, status int)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if onRequest != nil {
			onRequest(r.URL.Path, body, 0)
		}
		ow := &observedWriter{ResponseWriter: w}
		ow.onReply = func(status int) {
			if onRequest != nil {
				onRequest(r.URL.Path, body, status)
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

// observedWriter calls onReply once, before the reply is sent.
type observedWriter struct {
	http.ResponseWriter
	onReply func(status int)
	replied bool
}

// WriteHeader calls onReply before it sends the header.
func (w *observedWriter) WriteHeader(status int) {
	if !w.replied {
		w.replied = true
		w.onReply(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write calls onReply before it sends the first bytes.
func (w *observedWriter) Write(b []byte) (int, error) {
	if !w.replied {
		w.replied = true
		w.onReply(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// httpSteps returns the names of the steps of a request to a stand-in. The control
// paths of the stand-ins themselves are no steps.
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

// rowSteps returns the step of a transaction, named by the row of the highest
// precedence that it writes or removes.
func rowSteps(body []byte) []string {
	var tx struct {
		Writes []struct{ Table, Key string }
		Remove []struct{ Table, Key string }
	}
	if json.Unmarshal(body, &tx) != nil {
		return nil
	}
	highest := -1
	for _, w := range append(tx.Writes, tx.Remove...) {
		step := w.Table
		if _, cancel := job.ParseJobsKey(w.Key); step == job.TableJobs && cancel {
			step = "cancel"
		}
		highest = max(highest, slices.Index(tablePrecedence, step))
	}
	if highest < 0 {
		return []string{"row-other"}
	}
	return []string{"row-" + tablePrecedence[highest]}
}

// tablePrecedence holds the tables that are written, in the order of increasing
// precedence for the name of a transaction's step.
var tablePrecedence = []string{
	shard.TableShard, job.TableWaiting, job.TableIdempotencyKeys, shard.TableTargets, configuration.Table, job.TableProgress, job.TableJobs, job.TableEarlyCancellations, "cancel",
}
