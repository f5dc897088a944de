package worker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
)

// Behaviour is what the payload of a task may say about the task.
type Behaviour struct {
	RunMillis        int64           // run time on a healthy worker
	Result           json.RawMessage // result; otherwise ResultBytes, otherwise the payload
	Fail             string          // the task fails with this error at the end of its run time
	Straggle         float64         // multiplies the run time; 0 stands for 1
	ResultBytes      int             // size of a result that is a JSON string, quotes included
	CheckpointMillis int64           // time for a checkpoint; 0 for that of the settings
}

// maxResult leaves room for the base64 form of a result in a reply.
const maxResult = workerapi.MaxBody / 2

func parseBehaviour(payload []byte) Behaviour {
	var b Behaviour
	if json.Unmarshal(payload, &b) != nil {
		return Behaviour{} // An opaque payload is echoed.
	}
	return b
}

// work is the run time on a healthy worker.
func (b Behaviour) work() time.Duration {
	d := time.Duration(b.RunMillis) * time.Millisecond
	if b.Straggle > 0 {
		d = time.Duration(float64(d) * b.Straggle)
	}
	return max(d, 0)
}

// end returns the result of the task, or the error that it fails with.
func (b Behaviour) end(payload []byte) (body []byte, failure string) {
	switch {
	case b.Fail != "":
		return nil, b.Fail
	case len(b.Result) > 0:
		return b.Result, ""
	case b.ResultBytes > maxResult:
		return nil, fmt.Sprintf("result of %d bytes exceeds %d", b.ResultBytes, maxResult)
	case b.ResultBytes > 0:
		filler := bytes.Repeat([]byte("x"), max(b.ResultBytes-2, 0))
		return append(append([]byte{'"'}, filler...), '"'), ""
	}
	return payload, ""
}
