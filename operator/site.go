package operator

import "slices"

// DefaultSlotsPerWorker is the number of slots of a worker if the site sets none.
const DefaultSlotsPerWorker = 8

// Site describes the racks of workers that the workspaces share. A slot is one
// accelerator.
type Site struct {
	name           string
	dataCentres    []DataCentre
	slotsPerWorker int
}

// DataCentre is a set of racks.
type DataCentre struct {
	name  string
	racks []Rack
}

// Rack is a set of adjacent workers.
type Rack struct {
	name    string
	workers int
}

// NewSite returns a site without data centres.
func NewSite(name string) Site {
	return Site{name: name, slotsPerWorker: DefaultSlotsPerWorker}
}

// WithDataCentre returns a copy of s with one more data centre.
func (s Site) WithDataCentre(d DataCentre) Site {
	s.dataCentres = append(slices.Clone(s.dataCentres), d)
	return s
}

// WithSlotsPerWorker returns a copy of s whose workers have n slots each.
func (s Site) WithSlotsPerWorker(n int) Site {
	s.slotsPerWorker = n
	return s
}

// Name returns the name of the site.
func (s Site) Name() string { return s.name }

// DataCentres returns the data centres.
func (s Site) DataCentres() []DataCentre { return slices.Clone(s.dataCentres) }

// SlotsPerWorker returns the number of slots of each worker.
func (s Site) SlotsPerWorker() int { return s.slotsPerWorker }

// Workers returns the number of workers of all racks.
func (s Site) Workers() int {
	n := 0
	for _, d := range s.dataCentres {
		for _, r := range d.racks {
			n += r.workers
		}
	}
	return n
}

// Slots returns the total number of slots of all workers.
func (s Site) Slots() int { return s.Workers() * s.slotsPerWorker }

// Fits reports whether the empty site can hold the shape. Tasks of the shape may
// share a worker.
func (s Site) Fits(shape Shape) bool {
	if shape.Accelerators() > s.slotsPerWorker {
		return false
	}
	perWorker := s.slotsPerWorker / max(shape.Accelerators(), 1)
	switch shape.Adjacency() {
	case AdjacentWorker:
		return shape.Workers() <= perWorker && s.Workers() > 0
	case AdjacentRack:
		return shape.Workers() <= perWorker*s.largestRack()
	case AdjacentNone:
		return shape.Workers() <= perWorker*s.Workers()
	}
	return false
}

// largestRack returns the number of workers of the largest rack.
func (s Site) largestRack() int {
	n := 0
	for _, d := range s.dataCentres {
		for _, r := range d.racks {
			n = max(n, r.workers)
		}
	}
	return n
}

// NewDataCentre returns a data centre without racks.
func NewDataCentre(name string) DataCentre { return DataCentre{name: name} }

// WithRack returns a copy of d with one more rack of the given number of
// workers.
func (d DataCentre) WithRack(name string, workers int) DataCentre {
	d.racks = append(slices.Clone(d.racks), Rack{name: name, workers: workers})
	return d
}

// Name returns the name, unique in the site.
func (d DataCentre) Name() string { return d.name }

// Racks returns the racks.
func (d DataCentre) Racks() []Rack { return slices.Clone(d.racks) }

// Name returns the name, unique in the site.
func (r Rack) Name() string { return r.name }

// Workers returns the number of workers in the rack.
func (r Rack) Workers() int { return r.workers }
