package policybench

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Options of a measurement.
type Options struct {
	Seeds  int           // runs per variant and condition
	Length time.Duration // of a run
	// Only limits the variants to those whose names contain one of its parts, separated by commas.
	Only string
}

// variant is a policy: the project's, a baseline, or the policy without a part.
type variant struct {
	name                                           string
	fair, lane, lending, packing, reserve, learned bool
	claims, defrag, demote, health                 bool
	laneClaims                                     bool
	patience                                       time.Duration // before a reservation
	laneParts                                      int           // fixed lane: the site's slots divided by this
}

func variants() []variant {
	full := variant{
		name: "policy", fair: true, lane: true, lending: true, packing: true, reserve: true, learned: true,
		claims: true, defrag: true, demote: true, health: true, laneClaims: true, patience: reserveAfter,
	}
	but := func(name string, change func(*variant)) variant {
		v := full
		v.name = name
		change(&v)
		return v
	}
	return []variant{
		full,
		{name: "base: fcfs, declared", lending: true, packing: true, reserve: true},
		but("base: no lending", func(v *variant) { v.lending = false }),
		but("base: no lane", func(v *variant) { v.lane, v.laneClaims = false, false }),
		but("base: no packing", func(v *variant) { v.packing = false }),
		but("less fair queue", func(v *variant) { v.fair = false }),
		but("less reservation", func(v *variant) { v.reserve = false }),
		but("less learned times", func(v *variant) { v.learned = false }),
		but("less claims", func(v *variant) { v.claims = false }),
		but("less moves", func(v *variant) { v.defrag = false }),
		but("less demotion", func(v *variant) { v.demote = false }),
		but("less health", func(v *variant) { v.health = false }),
		but("less lane reclaims", func(v *variant) { v.laneClaims = false }),
		but("trial: lane of 1/4", func(v *variant) { v.laneParts = 4 }),
		but("trial: lane of 1/8", func(v *variant) { v.laneParts = 8 }),
		but("trial: reserve at once", func(v *variant) { v.patience = 0 }),
	}
}

// condition is the state of the site and its load.
type condition struct {
	title string
	loss  bool
	load  float64
}

var conditions = []condition{
	{title: "full site", load: 1},
	{title: "full site, one worker lost for two hours", loss: true, load: 1},
	{title: "60% of the long and fill work", load: 0.6},
}

// maxParallel leaves half of a ten-core machine to others.
const maxParallel = 5

// Run measures all variants and returns one table for each condition. The figures are medians over the seeds, except where the header says
// otherwise.
func Run(o Options) string {
	var out strings.Builder
	for _, c := range conditions {
		fmt.Fprintf(&out, "%s, %d seeds, %v\n%s\n", c.title, o.Seeds, o.Length, header)
		for _, v := range variants() {
			if matches(v.name, o.Only) {
				fmt.Fprintln(&out, row(v.name, measure(v, c, o)))
			}
		}
	}
	return out.String()
}

func measure(v variant, c condition, o Options) []*figures {
	results := make([]*figures, o.Seeds)
	var wg sync.WaitGroup
	limit := make(chan struct{}, max(min(maxParallel, runtime.NumCPU()/2), 1))
	for i := range results {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			results[i] = newSim(v, c, uint64(i+1), o.Length).run()
		})
	}
	wg.Wait()
	return results
}

const header = "variant                | short wait ms: p50    p95    p99 | crest p50    p95    p99 | claims: max s  late % | long done min p50    p95 | gangs p50    p95 | at once %   of |  frag | busy | work slot h | lost | preempt | moves | unknown | failed | short refused"

func row(name string, results []*figures) string {
	med := func(f func(*figures) float64) float64 {
		var x []float64
		for _, r := range results {
			x = append(x, f(r))
		}
		return quantile(x, 0.5)
	}
	wait := func(q float64) float64 {
		return med(func(f *figures) float64 { return float64(f.waits.ValueAtQuantile(q)) / 1000 })
	}
	crest := func(q float64) float64 {
		return med(func(f *figures) float64 { return float64(f.crest.ValueAtQuantile(q)) / 1000 })
	}
	claimMax := 0.0
	for _, r := range results {
		claimMax = max(claimMax, r.claimMax.Seconds())
	}
	return fmt.Sprintf("%-22s | %18.1f %6.0f %6.0f | %9.1f %6.0f %6.0f | %13.1f %7.3f | %17.0f %6.0f | %9.0f %6.0f | %9.1f %4.0f | %5.3f | %4.1f | %11.0f | %4.0f | %7.0f | %5.0f | %7.0f | %6.0f | %d",
		name, wait(50), wait(95), wait(99), crest(50), crest(95), crest(99),
		claimMax, med(func(f *figures) float64 { return 100 * float64(f.lateClaims) / max(float64(f.claimCount), 1) }),
		med(func(f *figures) float64 { return quantile(f.longs, 0.5) / 60 }),
		med(func(f *figures) float64 { return quantile(f.longs, 0.95) / 60 }),
		med(func(f *figures) float64 { return quantile(f.gangs, 0.5) / 60 }),
		med(func(f *figures) float64 { return quantile(f.gangs, 0.95) / 60 }),
		med(func(f *figures) float64 { return 100 * float64(f.starts) / max(float64(f.fits), 1) }),
		med(func(f *figures) float64 { return float64(f.fits) }),
		med(func(f *figures) float64 { return f.fragSum / float64(f.samples) }),
		med(func(f *figures) float64 { return f.busySum / float64(f.samples) }),
		med(func(f *figures) float64 { return f.work / 3600 }),
		med(func(f *figures) float64 { return f.lost / 3600 }),
		med(func(f *figures) float64 { return float64(f.preemptions) }),
		med(func(f *figures) float64 { return float64(f.moves) }),
		med(func(f *figures) float64 { return float64(f.unknown) }),
		med(func(f *figures) float64 { return float64(f.failed) }),
		int(med(func(f *figures) float64 { return float64(f.refused["short"]) })),
	)
}

func matches(name, only string) bool {
	for part := range strings.SplitSeq(only, ",") {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}
