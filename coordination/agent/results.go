package agent

import (
	"context"
	"fmt"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// maxInlineResultBytes is the maximum size of a result that is recorded in the row of
// its job. A row holds 64 KiB, which 64 tasks share: 1 KiB for each, which also holds
// the rest of the task's progress.
const maxInlineResultBytes = 512

// storeResults stores large results as objects and replaces them by their keys. It
// returns the ends before the first one whose result could not be stored; the next
// hold lists the others again.
func (a *Agent) storeResults(ctx context.Context, ended []*agentrpc.RunEnd) []*agentrpc.RunEnd {
	for i, e := range ended {
		if len(e.GetResult()) <= maxInlineResultBytes {
			continue
		}
		key := fmt.Sprintf("result-%s-%d", e.GetTask(), e.GetRun())
		if !a.isResultStored(key) {
			if err := a.objs.PutObject(ctx, key, e.GetResult()); err != nil {
				a.log.Warn().Int("Event", EventResultNotStored).Str("Task", e.GetTask()).Int64("Run", e.GetRun()).Err(err).Send()
				return ended[:i]
			}
			a.markResultStored(key)
		}
		e.Result, e.ResultObject = nil, key
	}
	return ended
}

func (a *Agent) isResultStored(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.state.storedResults[key]
	return ok
}

func (a *Agent) markResultStored(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.storedResults == nil {
		a.state.storedResults = make(map[string]struct{})
	}
	a.state.storedResults[key] = struct{}{}
}
