package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/platformapi"
	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/transport/httpcall"
)

// DefaultTimeout is the time that a call may take if the settings say nothing.
const DefaultTimeout = 2 * time.Second

// Settings of a Client.
type Settings struct {
	Address string        // base URL, such as "http://10.0.0.1:8400"
	Timeout time.Duration // of each call; 0 for DefaultTimeout
}

// Client reaches the platform. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	settings Settings
}

var _ rows.Store = (*Client)(nil)

// New returns a client that calls through hc.
func New(hc *http.Client, s Settings) *Client {
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	s.Address = strings.TrimSuffix(s.Address, "/")
	return &Client{http: hc, settings: s}
}

// Read returns one row, or rows.ErrNotFound.
func (c *Client) Read(ctx context.Context, table, key string) (rows.Row, error) {
	var row platformapi.Row
	err := c.readJSON(ctx, platformapi.PathRead, platformapi.ReadRequest{Table: table, Key: key}, &row, table, key)
	if err == nil && (row.Key != key || row.Version == 0) {
		err = &rows.UnavailableError{Err: fmt.Errorf("reply holds row %q, version %d", row.Key, row.Version)}
	}
	if err != nil {
		return rows.Row{}, c.step("read row", err)
	}
	return rows.Row(row), nil
}

// Scan returns up to limit rows whose keys have the prefix and come after the
// key after, in key order.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]rows.Row, error) {
	if limit <= 0 {
		return nil, nil
	}
	var reply platformapi.ScanReply
	req := platformapi.ScanRequest{Table: table, Prefix: prefix, After: after, Limit: limit}
	if err := c.readJSON(ctx, platformapi.PathScan, req, &reply, table, prefix, after); err != nil {
		return nil, c.step("scan rows", err)
	}
	found := make([]rows.Row, len(reply.Rows))
	for i, r := range reply.Rows {
		found[i] = rows.Row(r)
	}
	return found, nil
}

// Write applies all writes or none.
//
// After a *rows.LostAnswerError the write may still be on its way, so a read
// that does not find it proves nothing for good. It is settled by a read that
// finds it, or by another conditional write of the same row that succeeds.
func (c *Client) Write(ctx context.Context, writes ...rows.Write) error {
	if len(writes) == 0 {
		return nil
	}
	req := platformapi.WriteRequest{Writes: make([]platformapi.Write, len(writes))}
	names := make([]string, 0, 2*len(writes))
	for i, w := range writes {
		req.Writes[i] = platformapi.Write(w)
		names = append(names, w.Table, w.Key)
	}
	body, err := encode(req, names)
	if err != nil {
		return c.step("write rows", &rows.UnavailableError{Err: err})
	}
	reply, err := c.call(ctx, http.MethodPost, platformapi.PathWrite, jsonHeader(), body)
	err = writeError(reply, err)
	if err == nil {
		var applied platformapi.WriteReply
		if err := json.Unmarshal(reply.Body, &applied); err != nil || !applied.Applied {
			return c.step("write rows", &rows.LostAnswerError{Err: fmt.Errorf("malformed reply %.100q", reply.Body)})
		}
	}
	return c.step("write rows", err)
}

// ReadObject returns a whole object, or rows.ErrNotFound.
func (c *Client) ReadObject(ctx context.Context, key string) ([]byte, error) {
	reply, err := c.call(ctx, http.MethodGet, objectPath(key), nil, nil)
	if err := readError(reply, err); err != nil {
		return nil, c.step("read object", err)
	}
	return reply.Body, nil
}

// WriteObject stores an object. Writing the same key again with the same body
// succeeds; with another body it is a *rows.ConflictError.
func (c *Client) WriteObject(ctx context.Context, key string, body []byte) error {
	header := http.Header{
		"Content-Type":  {"application/octet-stream"},
		"If-None-Match": {"*"},
	}
	reply, err := c.call(ctx, http.MethodPut, objectPath(key), header, body)
	if err == nil && reply.Status == http.StatusPreconditionFailed {
		return c.compareObject(ctx, key, body)
	}
	return c.step("write object", writeError(reply, err))
}

// compareObject settles a write of an object that exists.
func (c *Client) compareObject(ctx context.Context, key string, body []byte) error {
	stored, err := c.ReadObject(ctx, key)
	switch {
	case errors.Is(err, rows.ErrNotFound):
		return c.step("write object", &rows.UnavailableError{Err: errors.New("object exists but cannot be read")})
	case err != nil:
		return err
	case !bytes.Equal(stored, body):
		return c.step("write object", &rows.ConflictError{Keys: []string{key}})
	}
	return nil
}

func (c *Client) step(step string, err error) error {
	return outcome.Step(step, c.settings.Address, err)
}

func (c *Client) readJSON(ctx context.Context, path string, req, into any, names ...string) error {
	body, err := encode(req, names)
	if err != nil {
		return &rows.UnavailableError{Err: err}
	}
	reply, err := c.call(ctx, http.MethodPost, path, jsonHeader(), body)
	if err := readError(reply, err); err != nil {
		return err
	}
	if err := json.Unmarshal(reply.Body, into); err != nil {
		return &rows.UnavailableError{Err: fmt.Errorf("malformed reply: %w", err)}
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (httpcall.Reply, error) {
	return httpcall.Do(ctx, c.http, httpcall.Request{
		Method:  method,
		URL:     c.settings.Address + path,
		Header:  header,
		Body:    body,
		Timeout: c.settings.Timeout,
		MaxBody: platformapi.MaxBody,
	})
}

func jsonHeader() http.Header { return http.Header{"Content-Type": {"application/json"}} }

func objectPath(key string) string { return platformapi.PathObject + url.PathEscape(key) }

// encode refuses names that JSON would change silently, which could make two
// keys the same.
func encode(req any, names []string) ([]byte, error) {
	for _, n := range names {
		if !utf8.ValidString(n) {
			return nil, fmt.Errorf("name %q is not valid UTF-8", n)
		}
	}
	return json.Marshal(req)
}

// readError classifies the end of a read.
func readError(reply httpcall.Reply, err error) error {
	if err != nil {
		return &rows.UnavailableError{Err: err}
	}
	if reply.Status == http.StatusOK {
		return nil
	}
	// A 404 without the protocol's reply comes from something else than the
	// service, such as a wrong address, and says nothing about the row.
	if e, ok := errorReply(reply); ok && reply.Status == http.StatusNotFound && e.NotApplied {
		return rows.ErrNotFound
	}
	return &rows.UnavailableError{Err: statusError(reply)}
}

// writeError classifies the end of a write. Whatever is not known to have had
// no effect is a lost answer.
func writeError(reply httpcall.Reply, err error) error {
	if err != nil {
		var ce *httpcall.Error
		if errors.As(err, &ce) && !ce.Sent {
			return &rows.UnavailableError{Err: err}
		}
		return &rows.LostAnswerError{Err: err}
	}
	if reply.Status == http.StatusOK {
		return nil
	}
	e, ok := errorReply(reply)
	switch {
	case !ok || !e.NotApplied:
		return &rows.LostAnswerError{Err: statusError(reply)}
	case reply.Status == http.StatusConflict:
		return &rows.ConflictError{Keys: e.Keys}
	}
	return &rows.UnavailableError{Err: statusError(reply)}
}

func errorReply(reply httpcall.Reply) (platformapi.ErrorReply, bool) {
	var e platformapi.ErrorReply
	if reply.Status < http.StatusBadRequest || json.Unmarshal(reply.Body, &e) != nil {
		return platformapi.ErrorReply{}, false
	}
	return e, true
}

func statusError(reply httpcall.Reply) error {
	if e, ok := errorReply(reply); ok && e.Error != "" {
		return fmt.Errorf("status %d: %s", reply.Status, e.Error)
	}
	return fmt.Errorf("status %d", reply.Status)
}
