package job

import "github.com/medlargrade/medlargrade/state/table"

// Upper bounds of the encoded sizes of the parts of a Progress, in bytes.
const (
	progressBytes = 400 // a Progress without its tasks
	taskBytes     = 30  // a Task without the parts below
	failureBytes  = 16  // a number of failures
	runBytes      = 90  // a Run without the names in its Place, or the first Crash of a task without its name
	crashesBytes  = 14  // the crashes of a task, without them
	crashBytes    = 76  // a Crash without the worker's ID
	fieldBytes    = 20  // the name of a field and the punctuation around its value
	// placeNameBytes is the expected size of the names in the Place of a run, and
	// workerNameBytes that of the worker's ID alone.
	placeNameBytes  = 64
	workerNameBytes = 32
)

// RequiredBytes returns an upper bound of the encoded size of the parts of the task that
// Progress.EncodeRow always includes, also after it fails again or the worker of one of its runs
// crashes.
func (t Task) RequiredBytes() int {
	n := taskBytes + failureBytes
	if t.ResultObject != "" {
		n += len(t.ResultObject) + fieldBytes
	}
	if len(t.Result) > 0 {
		// Bytes are encoded as base64.
		n += len(t.Result)*4/3 + fieldBytes
	}
	if len(t.Crashes) > 0 {
		n += crashesBytes
	}
	for _, c := range t.Crashes {
		n += crashBytes + len(c.Worker)
	}
	for _, r := range t.Active {
		n += MaxRunBytes(len(r.Place.Target) + len(r.Place.Worker))
	}
	return n
}

// MaxRunBytes returns an upper bound of the encoded size of a run with names of the given
// total length in its Place.
func MaxRunBytes(names int) int { return runBytes + names }

// FreeBytes returns how many bytes are certainly left in the row of a progress with tasks of
// the given total size.
func FreeBytes(tasks int) int { return max(table.MaxValueBytes-progressBytes-tasks, 0) }

// fitsRow reports whether the row of an occurrence has space for the runs of the largest
// gang, which all exist at once, and for one crash of each member.
func (j Job) fitsRow() bool {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks * Task{}.RequiredBytes()
	}
	return j.LargestGang()*(MaxRunBytes(placeNameBytes)+crashesBytes+crashBytes+workerNameBytes) <= FreeBytes(n)
}
