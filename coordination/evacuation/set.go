package evacuation

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/medlargrade/medlargrade/state/table"
)

// Request is the request to start nothing more in a data centre.
type Request struct {
	DataCentre string
	Reason     string `json:",omitempty"` // empty if the row does not say
	By         string `json:",omitempty"` // who made the request; empty if the row does not say
}

// Set holds the evacuated data centres. It is immutable; the zero Set is empty.
type Set struct {
	requests []Request // sorted by DataCentre
}

// NewSet returns the set of requests, one for each data centre.
func NewSet(requests ...Request) Set {
	list := slices.Clone(requests)
	slices.SortFunc(list, func(x, y Request) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	return Set{list}
}

// Contains reports whether a data centre is evacuated.
func (s Set) Contains(dataCentre string) bool {
	for _, r := range s.requests {
		if r.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// IsEmpty reports whether no data centre is evacuated.
func (s Set) IsEmpty() bool { return len(s.requests) == 0 }

// Requests returns the requests, sorted by data centre.
func (s Set) Requests() []Request { return slices.Clone(s.requests) }

// Equal reports whether two sets have the same requests.
func (s Set) Equal(o Set) bool { return slices.Equal(s.requests, o.requests) }

// Rows collects the requests from the rows of a table. It is not safe for concurrent use.
type Rows struct {
	prefix string
	rows   map[string]rowState // by data centre
}

// rowState is the newest known state of the row of a data centre.
type rowState struct {
	version uint64
	request Request
	deleted bool
}

// NewRows returns an empty collection of the rows whose keys start with prefix. The rest of
// a key is the name of a data centre.
func NewRows(prefix string) *Rows { return &Rows{prefix: prefix, rows: make(map[string]rowState)} }

// Reset replaces all requests by those among the rows of the whole table.
func (r *Rows) Reset(rows []table.Row) {
	clear(r.rows)
	r.Apply(rows)
}

// Apply applies rows that have changed, deleted rows included. It ignores rows with other
// keys, and a row that is older than the one known for its data centre.
func (r *Rows) Apply(rows []table.Row) {
	for _, row := range rows {
		name, ok := strings.CutPrefix(row.Key, r.prefix)
		if !ok || name == "" {
			continue
		}
		if old, known := r.rows[name]; known && row.Version < old.version {
			continue
		}
		r.rows[name] = rowState{row.Version, DecodeRequest(name, row.Value), row.Deleted}
	}
}

// Set returns the data centres that are evacuated by the rows so far.
func (r *Rows) Set() Set {
	var requests []Request
	for _, s := range r.rows {
		if !s.deleted {
			requests = append(requests, s.request)
		}
	}
	return NewSet(requests...)
}

// DecodeRequest decodes the value of the row of a data centre. The request has no reason if
// the value is not JSON as written by EncodeRequest.
func DecodeRequest(dataCentre string, value []byte) Request {
	var r Request
	if json.Unmarshal(value, &r) != nil {
		r = Request{}
	}
	r.DataCentre = dataCentre
	return r
}

// EncodeRequest returns the value of the row of a request.
func EncodeRequest(r Request) []byte {
	return table.EncodeValue(struct{ Reason, By string }{r.Reason, r.By})
}
