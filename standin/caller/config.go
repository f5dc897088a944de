package caller

import (
	"encoding/json"
	"fmt"
	"time"
)

// Config is the configuration written by the platform's operator.
type Config struct {
	Version    uint64
	Pool       string // the pool whose workers run all tasks
	Queues     []ConfigQueue
	Workspaces []ConfigWorkspace
}

// ConfigQueue is the configuration of a queue.
type ConfigQueue struct {
	Name      string
	Host      string
	Prefix    string
	Priority  int           // 0 is the highest
	Attempts  int           // failures of a task at which its job fails; 0 for the default
	Stretch   float64       // factor of the objective on the run time of the critical path
	Objective time.Duration // constant part of the objective, added to that product
}

// ConfigWorkspace is the configuration of a workspace.
type ConfigWorkspace struct {
	Name       string
	Keys       []string // API keys
	Guaranteed int      // accelerators
}

// Encode returns the configuration as JSON, the value of its row in the store.
func (c Config) Encode() ([]byte, error) {
	var routes, tenants []map[string]any
	for _, q := range c.Queues {
		routes = append(routes, map[string]any{
			"Name": q.Name, "Host": q.Host, "PathPrefix": q.Prefix, "Backend": c.Pool, "Priority": q.Priority,
			"Attempts": q.Attempts, "Stretch": q.Stretch, "SloMs": q.Objective.Milliseconds(),
		})
	}
	for _, w := range c.Workspaces {
		tenants = append(tenants, map[string]any{
			"Name": w.Name, "ApiKeys": w.Keys, "Guaranteed": map[string]int{"Gpu": w.Guaranteed},
		})
	}
	b, err := json.Marshal(map[string]any{
		"Version": c.Version, "Routes": routes, "Tenants": tenants,
		"Services": []map[string]any{{"Name": c.Pool, "AdmissionCheck": true}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return b, nil
}
