package matrix

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// keyOp is one response about an idempotency key: the job that ran, or "" with notRun
// if the response said that the key's job had not run.
type keyOp struct {
	key    string
	ran    string
	notRun bool
}

// keyModel is a write-once register: once the key's job has run, every response names
// that job.
var keyModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			k := op.Output.(keyOp).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		op := output.(keyOp)
		if op.notRun {
			return state == "", state
		}
		return state == "" || state == op.ran, op.ran
	},
}

// submissionRefusals are reasons that concern one submission only, not its key: the
// entry did not read the key's row, or could not.
var submissionRefusals = map[string]bool{
	string(outcome.ReasonStoreDown): true, string(outcome.ReasonLeaving): true, string(outcome.ReasonNotReady): true,
	string(outcome.ReasonQueueFull): true, string(outcome.ReasonInvalid): true, string(outcome.ReasonKeyConflict): true,
}

// checkKeys checks that the responses about each key are linearizable.
func checkKeys(h *history) []string {
	var ops []porcupine.Operation
	for i, c := range h.calls {
		if c.req.key == "" || c.err != "" || c.resp.Outcome != callerapi.Ran && c.resp.Outcome != callerapi.NotRun {
			continue
		}
		op := keyOp{key: c.req.key, ran: c.resp.Job, notRun: c.resp.Outcome == callerapi.NotRun}
		if op.notRun && submissionRefusals[c.resp.Reason] {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: op, Output: op, Call: c.start.UnixNano(), Return: c.end.UnixNano(),
		})
	}
	if porcupine.CheckOperationsTimeout(keyModel, ops, 10*time.Second) == porcupine.Ok {
		return nil
	}
	return []string{fmt.Sprintf("responses about keys are not linearizable: %+v", ops)}
}
