package process

import (
	"math/rand/v2"

	"github.com/rs/zerolog"
)

// Numbers of the log events of the processes, from 1 to 99.
const (
	// EventProcessStarted occurs when a process listens on all its addresses.
	EventProcessStarted = 1
	// EventProcessStopping occurs when a process begins its graceful stop.
	EventProcessStopping = 2
	// EventProcessStopped occurs at the end of a graceful stop.
	EventProcessStopped = 3
	// EventDrainIncomplete occurs when the drain time ended before all work.
	EventDrainIncomplete = 4
)

// newIncarnation returns a random ID of this process. It is never zero.
func newIncarnation() uint64 { return rand.Uint64() | 1 }

func logStopped(log zerolog.Logger, err error) error {
	log.Info().Int("Event", EventProcessStopped).Err(err).Send()
	return err
}
