package speed

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxRowBytes bounds the encoded speeds.
	maxRowBytes = 64 << 10
	// rowQuantum is the resolution of log speeds in a row. A coarse one keeps the row from
	// changing with every sample.
	rowQuantum = 0.05
	// maxRestoredWeight bounds the weight of a restored speed: that of a deviation of 0.15. The
	// worker may have changed since.
	maxRestoredWeight = 1 / (0.15 * 0.15)
)

// row is the encoded form of the learned speeds.
type row struct {
	Uneven bool
	// Workers maps the name of a worker to the logarithm of its speed in units of rowQuantum
	// and to the logarithm to base 2 of the weight of the evidence.
	Workers map[string][2]int
}

// Encode returns the learned speeds, or nil if there are none. Speeds that don't fit into a row
// are left out, those closest to 1 first.
func (l *Learner) Encode() []byte {
	known := make([]*Worker, 0, len(l.workers))
	for _, w := range l.workers {
		if w.all.weight >= 1 {
			known = append(known, w)
		}
	}
	if len(known) == 0 {
		return nil
	}
	slices.SortFunc(known, func(x, y *Worker) int {
		return cmp.Or(cmp.Compare(math.Abs(y.log-l.centre), math.Abs(x.log-l.centre)), cmp.Compare(x.name, y.name))
	})
	r := row{Uneven: l.uneven, Workers: make(map[string][2]int, len(known))}
	size := len(`{"Uneven":false,"Workers":{}}`)
	for _, w := range known {
		// The longest entry of a name has two quotes, a colon, brackets, two numbers of up to 3
		// characters and two commas.
		if size += len(w.name) + 13; size > maxRowBytes {
			break
		}
		r.Workers[w.name] = [2]int{int(math.Round((w.all.mean - l.centre) / rowQuantum)), int(math.Log2(w.all.weight))}
	}
	out, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return out
}

// Restore adds the speeds of a row to the evidence.
func (l *Learner) Restore(value []byte, now time.Time) error {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("decode learned speeds: %w", err)
	}
	for name, x := range r.Workers {
		mean := float64(x[0]) * rowQuantum
		if math.Abs(mean) > maxLogSpeed || x[1] < 0 || name == "" {
			return fmt.Errorf("decode learned speeds: worker %q has log speed %g and weight 2^%d", name, mean, x[1])
		}
	}
	for name, x := range r.Workers {
		w := l.Worker(name)
		w.base = evidence{float64(x[0]) * rowQuantum, min(math.Exp2(float64(min(x[1], 10))), maxRestoredWeight)}
		w.baseAt = now
		w.estimate(now)
	}
	l.decideUneven()
	l.uneven = l.uneven || r.Uneven
	l.publish()
	return nil
}
