package agent

import (
	"context"
	"fmt"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// inlineResult is the size up to which a result is recorded in the row of its job,
// in bytes. A row has 64 KiB, which 64 tasks share.
const inlineResult = 512

// storeResults keeps large results as objects. An end whose result could not be
// stored, and the ends after it, are left for the next look at the worker.
func (a *Agent) storeResults(ctx context.Context, ended []*agentrpc.RunEnd) []*agentrpc.RunEnd {
	for i, e := range ended {
		if len(e.GetResult()) <= inlineResult {
			continue
		}
		key := fmt.Sprintf("result-%s-%d", e.GetTask(), e.GetRun())
		if !a.isStored(key) {
			if err := a.objs.PutObject(ctx, key, e.GetResult()); err != nil {
				a.log.Warn().Int("Event", EventResultNotStored).Str("Task", e.GetTask()).Int64("Run", e.GetRun()).Err(err).Send()
				return ended[:i]
			}
			a.setStored(key)
		}
		e.Result, e.ResultObject = nil, key
	}
	return ended
}

func (a *Agent) isStored(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.life.stored[key]
	return ok
}

func (a *Agent) setStored(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life.stored == nil {
		a.life.stored = make(map[string]struct{})
	}
	a.life.stored[key] = struct{}{}
}
