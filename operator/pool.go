package operator

import (
	"cmp"
	"time"
)

// Pool is a set of workers that run the same kinds. The scheduler uses only its name;
// the other properties are recorded from the platform's configuration.
type Pool struct {
	name           string
	healthPath     string
	connections    int
	admissionCheck bool
	spare          bool
}

// NewPool returns a pool whose workers reject tasks that exceed their capacity.
func NewPool(name string) Pool { return Pool{name: name, admissionCheck: true} }

// WithHealthPath returns a copy of p whose workers answer health checks at path.
func (p Pool) WithHealthPath(path string) Pool {
	p.healthPath = path
	return p
}

// WithConnections returns a copy of p whose workers accept at most n connections.
func (p Pool) WithConnections(n int) Pool {
	p.connections = n
	return p
}

// WithAdmissionCheck returns a copy of p that sets whether its workers reject tasks
// that exceed their capacity.
func (p Pool) WithAdmissionCheck(admissionCheck bool) Pool {
	p.admissionCheck = admissionCheck
	return p
}

// WithSpare returns a copy of p that sets whether its machines are powered off and not
// in use.
func (p Pool) WithSpare(spare bool) Pool {
	p.spare = spare
	return p
}

// Name returns the name, unique in the configuration.
func (p Pool) Name() string { return p.name }

// HealthPath returns the path of health checks.
func (p Pool) HealthPath() string { return p.healthPath }

// Connections returns the number of connections that a worker accepts, or 0 for no
// limit.
func (p Pool) Connections() int { return p.connections }

// AdmissionCheck reports whether the workers reject tasks that exceed their
// capacity.
func (p Pool) AdmissionCheck() bool { return p.admissionCheck }

// Spare reports whether the machines of the pool are powered off and not in use.
func (p Pool) Spare() bool { return p.spare }

// Limits bound the HTTP requests of callers. BodyBytes applies to submissions by the
// platform's route API, the others to each connection that a caller opens after the
// version took effect.
type Limits struct {
	HeaderBytes   int           // size of a request's header; net/http allows 4 KiB more
	BodyBytes     int           // size of a request's body
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // between two requests on a connection
}

// DefaultLimits returns the limits of a configuration that sets none.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
}

// WithDefaults returns the limits with those of DefaultLimits for all that are 0.
func (l Limits) WithDefaults() Limits {
	d := DefaultLimits()
	return Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, d.HeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, d.BodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, d.HeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, d.IdleTimeout),
	}
}
