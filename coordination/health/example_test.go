package health_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/health"
)

func ExampleTracker() {
	var t health.Tracker
	now := time.Now()
	for range 10 {
		t.Observe("t1", "web", "render", health.Succeeded, now)
		t.Observe("t2", "web", "render", health.Failed, now)
	}
	fmt.Println(t.State("t1", now) == health.Healthy, t.State("t2", now) == health.Paused)
	// Output: true true
}
