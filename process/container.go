package process

import (
	"fmt"

	"go.uber.org/dig"
)

// newContainer returns a container with the constructors of a process's parts.
func newContainer(role string, providers []any) (*dig.Container, error) {
	c := dig.New()
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return nil, fmt.Errorf("assemble %s: %w", role, err)
		}
	}
	return c, nil
}
