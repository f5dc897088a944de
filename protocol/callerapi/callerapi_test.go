package callerapi

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/operator"
)

// Guards against problems that are accepted, that mask other problems, or that do
// not name the field.
func TestDecodeProblems(t *testing.T) {
	const names = `"Workspace": "web", "Kind": "cut"`
	tests := []struct {
		name string
		body string
		want []string // paths of the fields
	}{
		{name: "not an object", body: `[]`, want: []string{""}},
		{name: "empty body", body: ``, want: []string{""}},
		{name: "incomplete", body: `{` + names, want: []string{""}},
		{name: "not JSON", body: `{` + names + `, x}`, want: []string{""}},
		{name: "data after the object", body: `{` + names + `} {}`, want: []string{""}},
		{name: "names missing", body: `{}`, want: []string{"Workspace", "Kind"}},
		{name: "null name", body: `{"Workspace": null, "Kind": "cut"}`, want: []string{"Workspace"}},
		{name: "bad characters", body: `{"Workspace": "a/b", "Kind": "ü", "Key": "a b"}`, want: []string{"Workspace", "Kind", "Key"}},
		{name: "long name", body: `{"Workspace": "` + strings.Repeat("a", 129) + `", "Kind": "cut"}`, want: []string{"Workspace"}},
		{name: "unknown field", body: `{` + names + `, "Priority": 1}`, want: []string{"Priority"}},
		{name: "wrong case", body: `{` + names + `, "key": "k"}`, want: []string{"key"}},
		{name: "repeated field", body: `{` + names + `, "Kind": "b"}`, want: []string{"Kind"}},
		{name: "unknown field in shape", body: `{` + names + `, "Shape": {"Racks": 1}}`, want: []string{"Shape.Racks"}},
		{name: "shape of a wrong type", body: `{` + names + `, "Shape": 3}`, want: []string{"Shape"}},
		{
			name: "wrong types", body: `{"Workspace": 1, "Kind": "cut", "Idempotent": "yes", "Shape": {"Workers": 1.5, "Accelerators": "2"}}`,
			want: []string{"Workspace", "Idempotent", "Shape.Workers", "Shape.Accelerators"},
		},
		{
			name: "bad values", body: `{` + names + `, "Shape": {"Workers": 0, "Accelerators": -1, "Adjacent": "site"}, "DeclaredTime": "90", "Deadline": "-1s"}`,
			want: []string{"Shape.Workers", "Shape.Accelerators", "Shape.Adjacent", "DeclaredTime", "Deadline"},
		},
		{name: "huge shape", body: `{` + names + `, "Shape": {"Workers": 4294967296}}`, want: []string{"Shape.Workers"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode(strings.NewReader(tt.body))
			var invalid *InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			var got []string
			for _, p := range invalid.Problems {
				qt.Check(t, p.Message, qt.Not(qt.Equals), "")
				got = append(got, p.Field)
			}
			qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("%v", err))
		})
	}
}

// Guards against lost fields and against defaults that differ from the documented
// ones.
func TestDecode(t *testing.T) {
	idempotent := false
	tests := []struct {
		name string
		body string
		want Request
	}{
		{
			name: "defaults", body: `{"Workspace": "web", "Kind": "cut"}`,
			want: Request{Workspace: "web", Kind: "cut", Shape: Shape{Workers: 1, Accelerators: 1, Adjacent: operator.AdjacentNone}},
		},
		{
			name: "all fields", body: `{"Workspace": "web", "Kind": "cut", "Shape": {"Workers": 2, "Accelerators": 8, "Adjacent": "rack"},
				"DeclaredTime": "90s", "Deadline": "2h", "Idempotent": false, "Key": "k.1_a-b", "Payload": {"a": [1]}}`,
			want: Request{
				Workspace: "web", Kind: "cut", Shape: Shape{Workers: 2, Accelerators: 8, Adjacent: operator.AdjacentRack},
				DeclaredTime: "90s", Deadline: "2h", Idempotent: &idempotent, Key: "k.1_a-b", Payload: json.RawMessage(`{"a": [1]}`),
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Decode(strings.NewReader(tt.body))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got, qt.DeepEquals, tt.want)
			qt.Check(t, got.DeclaredDuration(), qt.Equals, map[string]time.Duration{"90s": 90 * time.Second}[tt.want.DeclaredTime])
			encoded, err := json.Marshal(got)
			qt.Assert(t, err, qt.IsNil)
			decoded, err := Decode(strings.NewReader(string(encoded)))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, decoded.Shape, qt.Equals, tt.want.Shape)
		})
	}
	_, err := Decode(strings.NewReader(`{"Payload": "` + strings.Repeat("a", MaxBodyBytes) + `"}`))
	qt.Check(t, err, qt.ErrorIs, ErrTooLarge)
}

// Guards against an encoding that changes the content of a part.
func TestParts(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{name: "JSON", body: `{"a":"<b>"}`, want: `{"a":"<b>"}`},
		{name: "text", body: "a <b> \"c\"\n", want: `"a <b> \"c\"\n"`},
		{name: "empty", body: "", want: `""`},
		{name: "bytes", body: "\xff\x00", want: `"data:;base64,/wA="`},
		{name: "bytes in a JSON string", body: "\"\xff\"", want: `"data:;base64,Iv8i"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := EncodeParts([][]byte{[]byte(tt.body)})
			qt.Assert(t, got, qt.HasLen, 1)
			qt.Check(t, string(got[0]), qt.Equals, tt.want)
		})
	}
}

// Guards against durations encoded as numbers, and against empty fields in the
// JSON that contradict the outcome.
func TestResponseJSON(t *testing.T) {
	r := Response{Outcome: NotRun, Reason: "QueueFull", RetryAfter: Duration(1500 * time.Millisecond)}
	data, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(data), qt.Equals, `{"Outcome":"NotRun","Reason":"QueueFull","RetryAfter":"1.5s"}`)
	var decoded Response
	qt.Assert(t, json.Unmarshal(data, &decoded), qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, r)
}
