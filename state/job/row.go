package job

import (
	"cmp"
	"slices"

	"github.com/medlargrade/medlargrade/state/table"
)

// optionalPart is a part of a Progress that its row may lack: the checkpoint of a task or of a whole
// gang, or the error of a task. A planner that restores the row starts the tasks from
// the beginning, or doesn't know why they failed.
type optionalPart struct {
	step       int
	tasks      []int // indexes in the step; a gang has a single checkpoint, which all or none must have
	checkpoint string
	err        string // set if checkpoint is empty
	rank       int    // one of the rank constants
}

// Ranks of optional parts, the most important first.
const (
	rankError             = iota // the error of a task of an occurrence that has ended, which its caller gets
	rankWaitingCheckpoint        // nothing runs, so that no worker has the checkpoint
	rankRunningCheckpoint        // a worker that runs one of the tasks lists a checkpoint
	rankFormerError              // the error of a task that may still be done
	rankUnused                   // the checkpoint of tasks that don't run any more
)

// EncodeRow returns the value of the row of an occurrence with the given steps, and how many tasks
// have a checkpoint or an error that it lacks. The store rejects a transaction with a row beyond
// its maximum size, so checkpoints and errors for which there is no space are left out. The value
// has at most table.MaxValueBytes if the RequiredBytes of all tasks are at most FreeBytes(0).
func (p Progress) EncodeRow(steps []Step) (value []byte, omitted int) {
	value = p.Encode()
	if len(value) <= table.MaxValueBytes {
		return value, 0
	}
	row := p.withoutOptionalParts()
	free := table.MaxValueBytes - len(row.Encode())
	for _, part := range p.optionalParts(steps) {
		n := part.bytes()
		if n > free {
			omitted += len(part.tasks)
			continue
		}
		free -= n
		part.addTo(row)
	}
	return row.Encode(), omitted
}

// withoutOptionalParts returns a copy of p without its optional parts, which shares no tasks with p.
func (p Progress) withoutOptionalParts() Progress {
	p.Steps = slices.Clone(p.Steps)
	for i := range p.Steps {
		tasks := slices.Clone(p.Steps[i].Tasks)
		for k := range tasks {
			tasks[k].Checkpoint, tasks[k].Error = "", ""
		}
		p.Steps[i].Tasks = tasks
	}
	return p
}

// optionalParts returns the optional parts in the order in which they are added to the row: by
// rank, and within a rank the shortest first, so that the row holds as many as possible.
func (p Progress) optionalParts(steps []Step) []optionalPart {
	var parts []optionalPart
	for i, s := range p.Steps {
		gang := i < len(steps) && steps[i].Gang
		byCheckpoint := make(map[string]int) // index in parts, for a gang
		for k, t := range s.Tasks {
			if t.Error != "" {
				rank := rankFormerError
				if p.State.Final() {
					rank = rankError
				}
				parts = append(parts, optionalPart{step: i, tasks: []int{k}, err: t.Error, rank: rank})
			}
			if t.Checkpoint == "" {
				continue
			}
			rank := rankWaitingCheckpoint
			switch {
			case t.Done || p.State.Final():
				rank = rankUnused
			case len(t.Active) > 0:
				rank = rankRunningCheckpoint
			}
			n, ok := byCheckpoint[t.Checkpoint]
			if !ok {
				n = len(parts)
				if gang {
					byCheckpoint[t.Checkpoint] = n
				}
				parts = append(parts, optionalPart{step: i, checkpoint: t.Checkpoint, rank: rank})
			}
			parts[n].tasks = append(parts[n].tasks, k)
			parts[n].rank = min(parts[n].rank, rank)
		}
	}
	slices.SortStableFunc(parts, func(x, y optionalPart) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.bytes(), y.bytes()))
	})
	return parts
}

// bytes returns an upper bound of the encoded size of the part.
func (o optionalPart) bytes() int {
	return len(o.tasks) * (len(table.EncodeValue(o.checkpoint+o.err)) + fieldBytes)
}

// addTo sets the part in p.
func (o optionalPart) addTo(p Progress) {
	for _, k := range o.tasks {
		t := &p.Steps[o.step].Tasks[k]
		if o.checkpoint != "" {
			t.Checkpoint = o.checkpoint
		} else {
			t.Error = o.err
		}
	}
}
