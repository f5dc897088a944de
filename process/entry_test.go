package process

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against an entry that is not ready although the store answers, because a watch of the
// configuration waits for as long as the bound allows, and against one that stays ready when
// the store does not answer.
func TestReadinessBetweenWatches(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second, 19 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tabletest.New()
				_, err := store.Commit(t.Context(), table.Tx{}.WithWrite(platform.OperatorTable, platform.ConfigKey, []byte(`{"Version": 1}`)))
				qt.Assert(t, err, qt.IsNil)
				settings := DefaultEntrySettings()
				settings.Config, settings.Bounds.ConfigInForce = SourcePlatform, Duration(bound)
				clock := &table.Clock{}
				holder := newConfigHolder(settings.Config, zerolog.Nop())
				e := entry{
					Settings: settings, Config: holder, Intake: intake.New(store, ShardPart, clock, metrics.NewSet(), zerolog.Nop()),
					Follower: newConfigFollower(settings.Config, settings.Bounds, store, holder, clock, zerolog.Nop()),
				}
				defer e.Intake.Close()
				e.Gate = newConfigGate(settings.Config, settings.Bounds, e.Intake, holder, e.Follower, zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					e.Follower.Run(ctx)
				}()
				for range 600 {
					time.Sleep(100 * time.Millisecond)
					qt.Assert(t, e.checkReady(t.Context(), false), qt.IsNil)
				}
				store.SetDown(true)
				time.Sleep(2*bound + 5*time.Second)
				qt.Check(t, e.checkReady(t.Context(), false), qt.IsNotNil)
				cancel()
				<-done
			})
		})
	}
}
