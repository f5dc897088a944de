package speed_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/speed"
)

// One of eight workers takes twice as long as the others for the tasks of several steps.
func Example() {
	l := speed.New()
	now := time.Unix(1_800_000_000, 0)
	for range 12 {
		s := l.NewStep("render", 5*time.Second, false)
		for i := range 8 {
			taskTime := 8 * time.Second
			if i == 3 {
				taskTime *= 2
			}
			s.Observe(i, l.Worker(fmt.Sprintf("target-%d", i)), taskTime, 100, now)
		}
		now = now.Add(time.Second)
		l.Update(now)
	}
	fmt.Println(l.Uneven())
	fmt.Printf("%.1f\n", l.Worker("target-3").Speed()/l.Worker("target-0").Speed())
	// Output:
	// true
	// 0.5
}
