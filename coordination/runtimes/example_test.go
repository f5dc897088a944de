package runtimes_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/runtimes"
)

func ExampleBook() {
	var b runtimes.Book
	now := time.Now()
	for range 10 { // declared ten times too long
		b.Observe("web", "render", 100*time.Second, 10*time.Second, now)
	}
	e := b.Estimate("web", "render", 100*time.Second)
	fmt.Println(e.Typical.Round(time.Second), e.Samples)
	// Output: 10s 10
}
