package matrix

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// keyOp is one response about an idempotency key: the job that ran, or "" with
// notRun if the caller was told that the key's job had not run.
type keyOp struct {
	key    string
	ran    string
	notRun bool
}

// keyModel is a register that is written once: the key's job runs, and from then
// on every response names the same job.
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

// refusals speak of the one submission that they answer, not of the key: the
// entry could not or did not look at the key's row.
var refusals = map[string]bool{
	string(outcome.ReasonStoreDown): true, string(outcome.ReasonLeaving): true, string(outcome.ReasonNotReady): true,
	string(outcome.ReasonQueueFull): true, string(outcome.ReasonInvalid): true, string(outcome.ReasonKeyConflict): true,
}

// checkKeys demands that the responses about each key are linearizable.
func checkKeys(h *history) []string {
	var ops []porcupine.Operation
	for i, t := range h.told {
		if t.req.key == "" || t.err != "" || t.resp.Outcome != callerapi.Ran && t.resp.Outcome != callerapi.NotRun {
			continue
		}
		op := keyOp{key: t.req.key, ran: t.resp.Job, notRun: t.resp.Outcome == callerapi.NotRun}
		if op.notRun && refusals[t.resp.Reason] {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: op, Output: op, Call: t.start.UnixNano(), Return: t.end.UnixNano(),
		})
	}
	if porcupine.CheckOperationsTimeout(keyModel, ops, 10*time.Second) == porcupine.Ok {
		return nil
	}
	return []string{fmt.Sprintf("responses about keys are not linearizable: %+v", ops)}
}
