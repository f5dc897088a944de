package policybench_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/coordination/policybench"
)

func ExampleRun() {
	table := policybench.Run(policybench.Options{Seeds: 1, Length: time.Minute, Only: "policy"})
	fmt.Println(strings.Split(table, "\n")[0])
	// Output: full site, 1 seeds, 1m0s
}
