package admission

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// Table holds the row of the load under CurrentKey.
	Table = "Load"
	// CurrentKey is the key of the row of the load.
	CurrentKey = "Current"
	// MaxRowAge is the age on the store's clock above which a row counts as unknown: three
	// times the interval at which it is published while work waits.
	MaxRowAge = 3 * time.Second
	// MaxRowBytes is the maximum size of a row. An entry receives it once a second.
	MaxRowBytes = 4 << 10
)

// maxMillis bounds the times of a row, so that they can be converted to nanoseconds: 31 years.
const maxMillis = 1_000_000_000_000

// Classes is the number of size classes. A job's class is that of the accelerators that its
// largest unit needs at once.
const Classes = 4

// classSizes holds the smallest number of accelerators of each class: one accelerator, up to a
// worker of 8, up to a rack of four such workers, more.
var classSizes = [Classes]int{0, 2, 9, 33}

// ClassOf returns the size class of a unit with a number of accelerators.
func ClassOf(accelerators int) int {
	c := 0
	for c+1 < Classes && accelerators >= classSizes[c+1] {
		c++
	}
	return c
}

// Row is the load of a shard. It is immutable once published.
type Row struct {
	AtMillis      int64 // store's clock
	ConfigVersion uint64
	Kinds         []KindLoad // sorted by queue; kinds without a wait may be missing
}

// KindLoad is the load of one kind.
type KindLoad struct {
	Queue string // of the kind
	// Tasks and WorkMillis are the tasks that wait and their work, in accelerators times
	// milliseconds.
	Tasks      int   `json:",omitempty"`
	WorkMillis int64 `json:",omitempty"`
	Drain      int   `json:",omitempty"` // accelerators that work for the kind
	Free       int   `json:",omitempty"` // accelerators of the kind's pool that are neither in use nor claimed
	// WaitMillis is the predicted wait of a job that arrives now, by size class.
	WaitMillis [Classes]int64
}

// Waits reports whether work waits.
func (r Row) Waits() bool {
	return slices.ContainsFunc(r.Kinds, func(k KindLoad) bool { return k.Tasks > 0 })
}

// Kind returns the load of a queue, and false if the row does not have it.
func (r Row) Kind(queue string) (KindLoad, bool) {
	i, ok := slices.BinarySearchFunc(r.Kinds, queue, func(k KindLoad, q string) int { return cmp.Compare(k.Queue, q) })
	if !ok {
		return KindLoad{}, false
	}
	return r.Kinds[i], true
}

// Encode returns the value of the row. If it would exceed MaxRowBytes, the kinds with the
// shortest waits are left out, so that their jobs are not refused.
func (r Row) Encode() []byte {
	value := table.EncodeValue(r)
	for len(value) > MaxRowBytes {
		kinds := slices.Clone(r.Kinds)
		slices.SortStableFunc(kinds, func(x, y KindLoad) int { return cmp.Compare(y.WaitMillis[0], x.WaitMillis[0]) })
		kinds = kinds[:min(len(kinds)*MaxRowBytes/len(value), len(kinds)-1)]
		slices.SortFunc(kinds, func(x, y KindLoad) int { return cmp.Compare(x.Queue, y.Queue) })
		r.Kinds = kinds
		value = table.EncodeValue(r)
	}
	return value
}

// Decode decodes the value of a row. A row that an entry could not work with is an error.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("decode load: %w", err)
	}
	if r.AtMillis <= 0 || r.AtMillis > maxMillis {
		return Row{}, errors.New("decode load: no valid time")
	}
	for i, k := range r.Kinds {
		if i > 0 && r.Kinds[i-1].Queue >= k.Queue {
			return Row{}, fmt.Errorf("decode load: queue %q is out of order", k.Queue)
		}
		if k.Tasks < 0 || k.WorkMillis < 0 || k.Drain < 0 || k.Free < 0 || slices.Min(k.WaitMillis[:]) < 0 {
			return Row{}, fmt.Errorf("decode load: queue %q has a negative value", k.Queue)
		}
		if slices.Max(k.WaitMillis[:]) > maxMillis {
			return Row{}, fmt.Errorf("decode load: queue %q has too long a wait", k.Queue)
		}
	}
	return r, nil
}
