package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/coordination/scheduler"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	standinplatform "github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/state/rows"
)

// teamsConfig is a configuration of the target size for 230 teams: four kinds for
// each team, and as many racks of three workers as the share of 7,400 workers needs.
func teamsConfig(teams int) operator.Config {
	site := operator.NewSite("site").WithSlotsPerWorker(16)
	racks := 2467 * teams / 230
	for d := range 16 {
		dc := operator.NewDataCentre(fmt.Sprintf("region%d-dc%d", d%6, d))
		for r := range max(racks/16, 1) {
			dc = dc.WithRack(fmt.Sprintf("region%d-dc%d-r%d", d%6, d, r), 3)
		}
		site = site.WithDataCentre(dc)
	}
	cfg := operator.NewConfig(site)
	for t := range teams {
		name := fmt.Sprintf("team-%03d", t)
		cfg = cfg.WithWorkspace(operator.NewWorkspace(name).WithGuarantee(operator.NewShape(8, 8).WithAdjacency(operator.AdjacentRack)))
		for k, class := range []operator.Class{operator.ClassShort, operator.ClassLong, operator.ClassLong, operator.ClassFill} {
			cfg = cfg.WithKind(operator.NewKind(name, fmt.Sprintf("kind-%d", k), class).WithIdempotent(true).WithLimit(12 * time.Hour))
		}
	}
	return cfg
}

// BenchmarkConfigChange measures what one change of one quota costs a process that
// follows the configuration, and the sizes of the change and of the whole.
func BenchmarkConfigChange(b *testing.B) {
	for _, teams := range []int{23, 115, 230} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			cfg := teamsConfig(teams)
			w, ok := cfg.Workspace("team-007")
			qt.Assert(b, ok, qt.IsTrue)
			other := cfg.WithWorkspace(w.WithQueueLimit(777))
			var bodies [2][]byte
			for i, delta := range []operator.Delta{operator.NewDelta(cfg, other), operator.NewDelta(other, cfg)} {
				body, err := rows.Encode(configsync.ChangeRow{Token: rows.NewToken(), Delta: delta})
				qt.Assert(b, err, qt.IsNil)
				bodies[i] = body
			}
			var h configsync.Holder
			h.Advance(configsync.Snapshot{Generation: 1, Config: cfg})
			g := uint64(1)
			for b.Loop() {
				g++
				if err := h.AdvanceBy([]configsync.Change{{Generation: g, Body: bodies[g%2]}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(cfg.JSON())), "whole-B")
			b.ReportMetric(float64(len(bodies[0])), "change-B")
		})
	}
}

// BenchmarkEntryMemory measures the heap that an entry needs for each target that
// reports to it, with 12 running tasks each.
func BenchmarkEntryMemory(b *testing.B) {
	for _, targets := range []int{308, 1233, 7400} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s := scheduler.New(scheduler.Settings{Entry: "e1"}, scheduler.Peers{Config: &staticConfig{}, Members: staticMembers{}}, zerolog.Nop(), metrics.NewSet())
				for i := range targets {
					_, err := s.Heartbeat(context.Background(), fullHeartbeat(i, 12))
					qt.Assert(b, err, qt.IsNil)
				}
				b.ReportMetric(float64(heap()-before)/float64(targets), "heap-B/target")
				runtime.KeepAlive(s)
				s.Close()
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStoreLoad measures the rows that idle entries read and write.
func BenchmarkStoreLoad(b *testing.B) {
	const period = 9 * time.Second // three beats
	for _, entries := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			s := &site{network: process.TCP()}
			standins, stopStandins := context.WithCancel(context.Background())
			ctx, cancel := context.WithCancel(context.Background())
			platform := standinplatform.New(standinplatform.Settings{WritesPerSecond: -1, ReadsPerSecond: -1}, zerolog.Nop())
			address := s.serve(b, standins, platform)
			done := make(chan error, entries)
			for i := range entries {
				set := process.DefaultEntrySettings()
				set.Name, set.DataCentre, set.Platform = fmt.Sprintf("e%d", i), "dc1", "http://"+address
				set.CallerAddress, set.TargetAddress, set.OperatorAddress = s.openAddress(b), s.openAddress(b), s.openAddress(b)
				go func() { done <- process.RunEntry(ctx, set, s.processNetwork(), zerolog.Nop()) }()
			}
			s.configure(b, "http://"+address)
			time.Sleep(4 * time.Second)
			for b.Loop() {
				before := platform.Counts()
				time.Sleep(period)
				after := platform.Counts()
				b.ReportMetric(float64(after.Reads-before.Reads)/period.Seconds()/float64(entries), "reads/s/entry")
				b.ReportMetric(float64(after.Writes-before.Writes)/period.Seconds()/float64(entries), "writes/s/entry")
			}
			cancel()
			for range entries {
				reportError(b, <-done)
			}
			stopStandins()
			s.wg.Wait()
		})
	}
}

// BenchmarkJobRows measures the rows of recorded jobs, beyond those of an idle site.
func BenchmarkJobRows(b *testing.B) {
	for _, jobs := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := newSite(b, 2)
			counts := func() standinplatform.Counts {
				c, err := readCounts(s.platform)
				qt.Assert(b, err, qt.IsNil)
				return c
			}
			start := time.Now()
			idle := counts()
			time.Sleep(6 * time.Second)
			rest := counts()
			idleReads := float64(rest.Reads-idle.Reads) / time.Since(start).Seconds()
			idleWrites := float64(rest.Writes-idle.Writes) / time.Since(start).Seconds()
			for b.Loop() {
				before, start := counts(), time.Now()
				failed := runCallers(4, jobs, func() error {
					r := shortRequest()
					r.Kind = "roll-nesting"
					return s.submit(r)
				})
				if len(failed) > 0 {
					b.Fatal(failed[0])
				}
				time.Sleep(time.Second) // the last rows are written after the answers
				after, seconds := counts(), time.Since(start).Seconds()
				b.ReportMetric((float64(after.Reads-before.Reads)-idleReads*seconds)/float64(jobs), "reads/job")
				b.ReportMetric((float64(after.Writes-before.Writes)-idleWrites*seconds)/float64(jobs), "writes/job")
			}
		})
	}
}

// readCounts asks the platform's stand-in for its counts.
func readCounts(url string) (standinplatform.Counts, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/counts", nil)
	if err != nil {
		return standinplatform.Counts{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return standinplatform.Counts{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var c standinplatform.Counts
	err = json.NewDecoder(resp.Body).Decode(&c)
	return c, err
}
