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
	// DefaultWait applies to submissions without the wait parameter.
	DefaultWait = 30 * time.Second
	// MaxWait is the maximum of the wait parameter.
	MaxWait = time.Hour
	// DefaultPageSize applies to list requests without the limit parameter.
	DefaultPageSize = 100
	// MaxPageSize is the maximum of the limit parameter.
	MaxPageSize = 1000
)

// query parses the parameters of a request and collects their problems.
type query struct {
	request  *http.Request
	values   url.Values
	problems []callerapi.Problem
}

// newQuery allows the named query parameters, each at most once. Unknown
// parameters are problems, because ignoring a misspelt wait would change the
// response.
func newQuery(r *http.Request, allowed ...string) *query {
	q := &query{request: r}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		q.addProblem("", "query is malformed")
	}
	q.values = values
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(allowed, name) {
			q.addProblem(name, "unknown query parameter")
		} else if len(values[name]) > 1 {
			q.addProblem(name, "is given more than once")
		}
	}
	return q
}

func (q *query) addProblem(field, message string) {
	q.problems = append(q.problems, callerapi.Problem{Field: field, Message: message})
}

// pathName returns a path parameter that must be a valid name.
func (q *query) pathName(param string) string {
	s := chi.URLParam(q.request, param)
	if err := callerapi.CheckName(s); err != nil {
		q.addProblem(param, err.Error())
	}
	return s
}

func (q *query) wait(defaultWait time.Duration) time.Duration {
	s := q.values.Get("wait")
	if s == "" {
		return defaultWait
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > MaxWait {
		q.addProblem("wait", fmt.Sprintf(`must be a duration such as "30s", from 0s to %v`, MaxWait))
	}
	return d
}

func (q *query) after() string {
	s := q.values.Get("after")
	if s != "" {
		if err := callerapi.CheckName(s); err != nil {
			q.addProblem("after", err.Error())
		}
	}
	return s
}

func (q *query) limit() int {
	s := q.values.Get("limit")
	if s == "" {
		return DefaultPageSize
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > MaxPageSize {
		q.addProblem("limit", fmt.Sprintf("must be a whole number from 1 to %d", MaxPageSize))
	}
	return n
}
