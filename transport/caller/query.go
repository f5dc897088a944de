package caller

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// Limits of query parameters.
const (
	// DefaultWait is how long a submission without the parameter wait waits.
	DefaultWait = 30 * time.Second
	// MaxWait is the limit of the parameter wait.
	MaxWait = time.Hour
	// DefaultLimit is the size of a page of a list without the parameter limit.
	DefaultLimit = 100
	// MaxLimit is the limit of the parameter limit.
	MaxLimit = 1000
)

// query reads the parameters of a request and collects their problems.
type query struct {
	request  *http.Request
	values   url.Values
	problems []callerapi.Problem
}

// newQuery allows the named query parameters, each at most once. An unknown one
// is a problem, because a misspelt wait would change what the caller gets.
func newQuery(r *http.Request, allowed ...string) *query {
	q := &query{request: r}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		q.add("", "query is malformed")
	}
	q.values = values
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(allowed, name) {
			q.add(name, "unknown query parameter")
		} else if len(values[name]) > 1 {
			q.add(name, "is given more than once")
		}
	}
	return q
}

func (q *query) add(field, message string) {
	q.problems = append(q.problems, callerapi.Problem{Field: field, Message: message})
}

// name returns a name in the path.
func (q *query) name(param string) string {
	s := chi.URLParam(q.request, param)
	if err := callerapi.CheckName(s); err != nil {
		q.add(param, err.Error())
	}
	return s
}

func (q *query) wait(missing time.Duration) time.Duration {
	s := q.values.Get("wait")
	if s == "" {
		return missing
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > MaxWait {
		q.add("wait", fmt.Sprintf(`must be a duration such as "30s", from 0s to %v`, MaxWait))
	}
	return d
}

func (q *query) after() string {
	s := q.values.Get("after")
	if s != "" {
		if err := callerapi.CheckName(s); err != nil {
			q.add("after", err.Error())
		}
	}
	return s
}

func (q *query) limit() int {
	s := q.values.Get("limit")
	if s == "" {
		return DefaultLimit
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > MaxLimit {
		q.add("limit", fmt.Sprintf("must be a whole number from 1 to %d", MaxLimit))
	}
	return n
}
