package operator

import "time"

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

// Limits are the platform's limits on the HTTP requests of callers. Only BodyBytes has
// an effect: it bounds the submissions of the platform's route API. The other fields are
// recorded from the platform's configuration.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int // 0 for the value of DefaultLimits
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits returns the limits of a configuration that sets none.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
}
