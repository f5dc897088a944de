package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode"

	qt "github.com/frankban/quicktest"
)

// event is a numbered log event from the sources or from the catalogue.
type event struct {
	pkg    string // directory below the module's root
	name   string
	number int
	level  string // levels of its log calls, sorted, joined by ", "
}

func (e event) key() string { return e.pkg + "." + e.name }

// eventSources collects the constants and the log calls of a module.
type eventSources struct {
	fset     *token.FileSet
	events   map[string]*event
	levels   map[string]map[string]bool // of log calls, by the key of their event
	problems []string
}

// Guards against log lines that operators can't look up: a log call without an
// event, an event that the catalogue lacks or describes wrongly, and two events
// with the same number.
func TestEventCatalogue(t *testing.T) {
	const root = "../.."
	src := readEvents(t, root)
	for _, p := range src.problems {
		t.Error(p)
	}
	rows := readCatalogue(t, filepath.Join(root, "docs", "events.md"))
	catalogued := make(map[string]event)
	numbers := make(map[int]string)
	for _, row := range rows {
		if _, ok := catalogued[row.key()]; ok {
			t.Errorf("the catalogue has two rows for %s", row.key())
		}
		catalogued[row.key()] = row
		if src.events[row.key()] == nil {
			t.Errorf("the catalogue has a row for %s, but there is no such constant", row.key())
		}
	}
	for key, e := range src.events {
		if other, ok := numbers[e.number]; ok {
			t.Errorf("%s and %s have the number %d", other, key, e.number)
		}
		numbers[e.number] = key
		e.level = strings.Join(slices.Sorted(maps.Keys(src.levels[key])), ", ")
		if e.level == "" {
			t.Errorf("%s: no log call carries the event", key)
		}
		row, ok := catalogued[key]
		if !ok {
			t.Errorf("the catalogue has no row for %s (%d, %s)", key, e.number, e.level)
			continue
		}
		qt.Check(t, row.number, qt.Equals, e.number, qt.Commentf("number of %s", key))
		qt.Check(t, row.level, qt.Equals, e.level, qt.Commentf("level of %s", key))
	}
	qt.Check(t, len(src.events) > 50, qt.IsTrue, qt.Commentf("only %d constants found", len(src.events)))
}

// Guards against a check of the sources that misses faults or reports correct calls.
func TestEventSourcesFindsFaults(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{"good", `log.Info().Int("Event", EventA).Str("X", "y").Msg("z")`, ""},
		{"no event", `log.Warn().Str("X", "y").Send()`, "log call without an event"},
		{"literal", `log.Warn().Int("Event", 7).Send()`, "log call without an event"},
		{"foreign constant", `log.Warn().Int("Event", EventB).Send()`, "p.EventB is no event"},
		{"not sent", `log.Debug().Int("Event", EventA)`, "log call that is not sent in the same expression"},
		{"error level", `log.Error().Err(err).Msg("x")`, "log call without an event"},
		{"no log call", `fmt.Println(err.Error())`, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			src := newEventSources()
			f, err := parser.ParseFile(src.fset, "a.go", "package p\nconst EventA = 1\nfunc f() { "+tt.body+" }", 0)
			qt.Assert(t, err, qt.IsNil)
			src.addConstants("p", f)
			src.addCalls("p", f, true)
			got := strings.Join(src.problems, "\n")
			if tt.want == "" {
				qt.Check(t, got, qt.Equals, "")
				return
			}
			qt.Check(t, got, qt.Contains, tt.want)
		})
	}
}

func newEventSources() *eventSources {
	return &eventSources{fset: token.NewFileSet(), events: make(map[string]*event), levels: make(map[string]map[string]bool)}
}

// readEvents parses all Go files below root that are not tests.
func readEvents(t *testing.T, root string) *eventSources {
	t.Helper()
	src := newEventSources()
	files := make(map[string]*ast.File)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(src.fset, path, nil, 0)
		files[path] = f
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	pkg := func(path string) string {
		rel, err := filepath.Rel(root, filepath.Dir(path))
		qt.Assert(t, err, qt.IsNil)
		return filepath.ToSlash(rel)
	}
	for path, f := range files {
		src.addConstants(pkg(path), f)
	}
	for path, f := range files {
		p := pkg(path)
		src.addCalls(p, f, !strings.HasPrefix(p, "standin/"))
	}
	return src
}

// addConstants collects the integer constants named Event... or event...
func (s *eventSources) addConstants(pkg string, f *ast.File) {
	for _, decl := range f.Decls {
		d, ok := decl.(*ast.GenDecl)
		if !ok || d.Tok != token.CONST {
			continue
		}
		for _, spec := range d.Specs {
			v := spec.(*ast.ValueSpec)
			for i, name := range v.Names {
				rest, ok := strings.CutPrefix(strings.ToLower(name.Name[:1])+name.Name[1:], "event")
				if !ok || rest == "" || !unicode.IsUpper(rune(rest[0])) || i >= len(v.Values) {
					continue
				}
				lit, ok := v.Values[i].(*ast.BasicLit)
				if !ok || lit.Kind != token.INT {
					continue
				}
				n, err := strconv.Atoi(lit.Value)
				if err != nil {
					s.problem(name, "number of an event: %v", err)
				}
				e := &event{pkg: pkg, name: name.Name, number: n}
				s.events[e.key()] = e
			}
		}
	}
}

var (
	logLevels      = []string{"Trace", "Debug", "Info", "Warn", "Error", "Fatal", "Panic"}
	logSendMethods = []string{"Send", "Msg", "Msgf", "MsgFunc"}
)

// addCalls collects the levels of a file's log calls, which are chains of method calls
// from a level to a send method. If strict is set, it also checks them.
func (s *eventSources) addCalls(pkg string, f *ast.File, strict bool) {
	sent := make(map[*ast.CallExpr]bool) // level calls in complete chains
	ast.Inspect(f, func(n ast.Node) bool {
		end, ok := n.(*ast.CallExpr)
		if !ok || !slices.Contains(logSendMethods, methodName(end)) {
			return true
		}
		var name string
		for c := receiverCall(end); c != nil; c = receiverCall(c) {
			if methodName(c) == "Int" && len(c.Args) == 2 && isEventField(c.Args[0]) {
				if id, ok := c.Args[1].(*ast.Ident); ok {
					name = id.Name
				}
			}
			if !slices.Contains(logLevels, methodName(c)) || len(c.Args) > 0 {
				continue
			}
			sent[c] = true
			s.addCall(pkg, name, strings.ToLower(methodName(c)), c, strict)
		}
		return true
	})
	ast.Inspect(f, func(n ast.Node) bool {
		// Error is also a method of the error interface.
		if c, ok := n.(*ast.CallExpr); ok && strict && !sent[c] && len(c.Args) == 0 &&
			slices.Contains(logLevels, methodName(c)) && methodName(c) != "Error" {
			s.problem(c, "log call that is not sent in the same expression")
		}
		return true
	})
}

func (s *eventSources) addCall(pkg, name, level string, at ast.Node, strict bool) {
	e := event{pkg: pkg, name: name}
	switch {
	case s.events[e.key()] != nil:
		if s.levels[e.key()] == nil {
			s.levels[e.key()] = make(map[string]bool)
		}
		s.levels[e.key()][level] = true
	case !strict:
	case name == "":
		s.problem(at, "log call without an event")
	default:
		s.problem(at, "%s is no event", e.key())
	}
}

func (s *eventSources) problem(at ast.Node, format string, args ...any) {
	s.problems = append(s.problems, fmt.Sprintf("%s: %s", s.fset.Position(at.Pos()), fmt.Sprintf(format, args...)))
}

// methodName returns the name of the called method, or "".
func methodName(c *ast.CallExpr) string {
	if sel, ok := c.Fun.(*ast.SelectorExpr); ok {
		return sel.Sel.Name
	}
	return ""
}

// receiverCall returns the call whose result is the receiver of the method call c, or
// nil.
func receiverCall(c *ast.CallExpr) *ast.CallExpr {
	sel, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	r, _ := sel.X.(*ast.CallExpr)
	return r
}

// isEventField reports whether x is the name of the log field for the event.
func isEventField(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.BasicLit:
		return x.Value == `"Event"`
	case *ast.Ident:
		return x.Name == "eventField"
	}
	return false
}

// readCatalogue reads the rows of the tables whose first cell is a number.
func readCatalogue(t *testing.T, path string) []event {
	t.Helper()
	body, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	var rows []event
	for line := range strings.Lines(string(body)) {
		cells := strings.Split(line, "|")
		if len(cells) != 8 {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(cells[i], " `\n")
		}
		n, err := strconv.Atoi(cells[1])
		if err != nil {
			continue
		}
		qt.Check(t, cells[5] != "" && cells[6] != "", qt.IsTrue, qt.Commentf("row of %d lacks a text", n))
		rows = append(rows, event{number: n, pkg: cells[2], name: cells[3], level: cells[4]})
	}
	return rows
}
