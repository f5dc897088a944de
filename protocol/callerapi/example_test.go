package callerapi_test

import (
	"errors"
	"fmt"
	"strings"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

func ExampleDecode() {
	_, err := callerapi.Decode(strings.NewReader(`{"Workspace": "web", "Shape": {"Workers": 0}, "Deadline": "soon"}`))
	var invalid *callerapi.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			fmt.Printf("%s: %s\n", p.Field, p.Message)
		}
	}
	// Output:
	// Kind: is required
	// Shape.Workers: must be between 1 and 1048576
	// Deadline: must be a duration such as "90s"
}
