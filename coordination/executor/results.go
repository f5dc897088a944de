package executor

import (
	"sync"

	"github.com/medlargrade/medlargrade/state/attempts"
)

type kindKey struct{ workspace, kind string }

type kindCount struct{ succeeded, failed uint64 }

// kindResults counts the ended tasks of this target by workspace and kind.
type kindResults struct {
	mu     sync.Mutex
	counts map[kindKey]kindCount
}

// count records the end of a single task. Only tasks that ran to an end of their
// own say something about the worker or the kind.
func (k *kindResults) count(spec attempts.Spec, end attempts.End) {
	if end.Phase == attempts.Ran {
		k.countPart(spec, end.Part)
	}
}

func (k *kindResults) countPart(spec attempts.Spec, part attempts.Part) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := kindKey{spec.Workspace, spec.Kind}
	c := k.counts[key]
	if part.Failed {
		c.failed++
	} else {
		c.succeeded++
	}
	k.counts[key] = c
}

func (k *kindResults) snapshot() map[kindKey]kindCount {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[kindKey]kindCount, len(k.counts))
	for key, c := range k.counts {
		out[key] = c
	}
	return out
}
