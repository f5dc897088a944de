package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// pageTimeout bounds one command of a page, and the end of a process.
const pageTimeout = time.Minute

// tour runs the commands of the pages in a directory of its own, with ports of its own.
type tour struct {
	t     *testing.T
	dir   string
	ports map[string]string // of the pages, by the port that replaces them
	env   []string
	procs []*exec.Cmd
}

// newTour builds the binaries and copies the example files that the pages name.
func newTour(t *testing.T) *tour {
	tr := &tour{t: t, dir: t.TempDir(), ports: make(map[string]string)}
	for _, port := range []string{"8080", "8081", "8090", "8091", "8400", "8500", "8600"} {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		tr.ports[port] = strconv.Itoa(l.Addr().(*net.TCPAddr).Port)
		qt.Assert(t, l.Close(), qt.IsNil)
	}
	tr.env = append(os.Environ(), "PATH="+filepath.Join(tr.dir, "bin")+":"+os.Getenv("PATH"),
		"MEDLARGRADE_ENTRY="+tr.url("8080"), "MEDLARGRADE_PROCESS="+tr.url("8081"), "MEDLARGRADE_PLATFORM="+tr.url("8400"))
	out, err := tr.command("cd " + repoRoot(t) + " && go build -o " + tr.dir + "/bin/ ./cmd/...").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, name := range []string{"examples/settings/entry.json", "examples/settings/target.json", "examples/quillfold/config.json"} {
		b, err := os.ReadFile(filepath.Join(repoRoot(t), name))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.MkdirAll(filepath.Dir(filepath.Join(tr.dir, name)), 0o700), qt.IsNil)
		qt.Assert(t, os.WriteFile(filepath.Join(tr.dir, name), []byte(tr.replacePorts(string(b))), 0o600), qt.IsNil)
	}
	return tr
}

func repoRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	qt.Assert(t, err, qt.IsNil)
	return root
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repoRoot(t), name))
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

func (tr *tour) url(port string) string { return "http://127.0.0.1:" + tr.ports[port] }

func (tr *tour) replacePorts(s string) string {
	for from, to := range tr.ports {
		s = strings.ReplaceAll(s, "127.0.0.1:"+from, "127.0.0.1:"+to)
	}
	return s
}

// command returns a command for a line of a page.
func (tr *tour) command(line string) *exec.Cmd {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	tr.t.Cleanup(cancel)
	cmd := exec.CommandContext(ctx, "bash", "-c", "exec "+line)
	if strings.Contains(line, "&&") || strings.Contains(line, ">") {
		cmd = exec.CommandContext(ctx, "bash", "-c", line)
	}
	cmd.Dir, cmd.Env = tr.dir, tr.env
	return cmd
}

// start runs a line in the background. Its output goes to the file of that name.
func (tr *tour) start(line, output string) {
	f, err := os.Create(filepath.Join(tr.dir, output))
	qt.Assert(tr.t, err, qt.IsNil)
	tr.t.Cleanup(func() { _ = f.Close() })
	cmd := tr.command(line)
	cmd.Stdout, cmd.Stderr = f, f
	qt.Assert(tr.t, cmd.Start(), qt.IsNil)
	tr.procs = append(tr.procs, cmd)
}

// stop ends the processes in reverse order and checks that each ends with exit code 0.
func (tr *tour) stop() {
	for _, p := range slices.Backward(tr.procs) {
		_ = p.Process.Signal(syscall.SIGTERM)
		done := make(chan error, 1)
		go func() { done <- p.Wait() }()
		select {
		case err := <-done:
			qt.Check(tr.t, err, qt.IsNil, qt.Commentf("%s", p))
		case <-time.After(pageTimeout):
			_ = p.Process.Kill()
			tr.t.Errorf("%s has not ended %v after SIGTERM", p, pageTimeout)
		}
	}
}

// run runs a line and returns its standard output. It must end with exit code 0.
func (tr *tour) run(line string) string {
	tr.t.Helper()
	cmd := tr.command(line)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	qt.Assert(tr.t, err, qt.IsNil, qt.Commentf("%s\nstdout: %s\nstderr: %s\n%s", line, out.String(), errOut.String(), tr.logs()))
	return out.String()
}

// logs returns the last lines of the processes' output.
func (tr *tour) logs() string {
	var b strings.Builder
	names, _ := filepath.Glob(filepath.Join(tr.dir, "*.log"))
	for _, n := range names {
		data, _ := os.ReadFile(n)
		fmt.Fprintf(&b, "%s: …%s\n", filepath.Base(n), data[max(len(data)-2000, 0):])
	}
	return b.String()
}

// codeBlocks returns the indented blocks of a page, without their indentation.
func codeBlocks(page string) []string {
	var out []string
	var block []string
	for line := range strings.Lines(page + "\nend\n") {
		if text, ok := strings.CutPrefix(line, "    "); ok || strings.TrimSpace(line) == "" && len(block) > 0 {
			block = append(block, text)
			continue
		}
		if s := strings.TrimRight(strings.Join(block, ""), "\n "); s != "" {
			out = append(out, s+"\n")
		}
		block = nil
	}
	return out
}

// expectation says what the output of a command on a page must show.
type expectation struct {
	command string // prefix of the command
	check   func(t *testing.T, out string)
}

func contains(parts ...string) func(t *testing.T, out string) {
	return func(t *testing.T, out string) {
		t.Helper()
		for _, p := range parts {
			qt.Check(t, out, qt.Contains, p)
		}
	}
}

// decodeResponse decodes the JSON that a caller's command prints. Unknown fields are errors.
func decodeResponse(t *testing.T, out string) callerapi.Response {
	t.Helper()
	var resp callerapi.Response
	d := json.NewDecoder(strings.NewReader(out))
	d.DisallowUnknownFields()
	qt.Assert(t, d.Decode(&resp), qt.IsNil, qt.Commentf("%s", out))
	return resp
}

// maskVolatile replaces the values that differ from run to run.
func maskVolatile(out string) string {
	return regexp.MustCompile(`"(Key|Job|Elapsed)": "[^"]+"`).ReplaceAllString(out, `"$1": "…"`)
}

// runTour runs the commands of the README's first tour, and returns the ID of its first job. The
// processes run on.
func (tr *tour) runTour(readme string) (firstJob string) {
	t := tr.t
	_, section, ok := strings.Cut(readme, "## A first tour")
	qt.Assert(t, ok, qt.IsTrue)
	blocks := codeBlocks(section)
	answer := blocks[1]
	expected := []expectation{
		{"config apply", contains("generation 1 accepted")},
		{"submit --retry", func(t *testing.T, out string) {
			qt.Check(t, maskVolatile(out), qt.Equals, maskVolatile(answer))
			firstJob = decodeResponse(t, out).Job
		}},
		{"submit --wait 0s", func(t *testing.T, out string) {
			resp := decodeResponse(t, out)
			qt.Check(t, resp.Key, qt.Equals, "night-1")
			qt.Check(t, resp.State, qt.Not(qt.Equals), callerapi.State(""))
			qt.Check(t, resp.Ended(), qt.IsFalse)
		}},
		{"job ", func(t *testing.T, out string) { qt.Check(t, decodeResponse(t, out).Outcome, qt.Equals, callerapi.Ran) }},
		{"status", contains("planner t1", "TARGET", "t1 ", "answers", "roller")},
	}
	logs := []string{"standin.log", "entry-1.log", "target-1.log"}
	for line := range strings.Lines(blocks[0]) {
		line = tr.replacePorts(strings.TrimSpace(line))
		if line == "make build" {
			continue
		}
		command, ok := strings.CutPrefix(line, "bin/medlargrade ")
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("unexpected command %q", line))
		if line, background := strings.CutSuffix(line, " &"); background {
			if strings.HasPrefix(command, "standin ") {
				line += " --worker-port " + tr.ports["8500"] + " --report-port " + tr.ports["8600"]
			}
			tr.start(line, logs[len(tr.procs)])
			continue
		}
		qt.Assert(t, len(expected) > 0 && strings.HasPrefix(command, expected[0].command), qt.IsTrue, qt.Commentf("unexpected command %q", line))
		expected[0].check(t, tr.run(line))
		expected = expected[1:]
	}
	qt.Check(t, expected, qt.HasLen, 0)
	return firstJob
}

// Guards against pages that part from the program: a command of the README's tour or of the
// operators' page that fails, or prints something else than the page says.
func TestCommandsOfPages(t *testing.T) {
	tr := newTour(t)
	defer tr.stop()
	readme := readPage(t, "README.md")
	job := tr.runTour(readme)
	if t.Failed() {
		return
	}
	qt.Assert(t, job, qt.Not(qt.Equals), "")
	tr.runOperations(readPage(t, "docs/OPERATIONS.md"), job)
}

// runOperations runs the commands of docs/OPERATIONS.md on the site of the tour. Commands that
// need the users' bench, and those on recorded days, only have their form checked.
func (tr *tour) runOperations(page, job string) {
	t := tr.t
	expected := []expectation{
		{"medlargrade status", contains("t1", "roller")},
		{"go run", func(*testing.T, string) {}},
		{"medlargrade config check", contains("no problems")},
		{"medlargrade config diff", contains("no differences from generation 1")},
		{"medlargrade config apply", contains("no differences from generation 1")},
		{"medlargrade config show", contains(`"Name": "quillfold"`)},
		{"medlargrade evacuate dc1", contains("nothing more is started in dc1")},
		{"medlargrade evacuate", contains("dc1", "cooling")},
		{"medlargrade evacuate dc1 --release", contains("dc1 is used again")},
		{"cat entry-", func(*testing.T, string) {}},
		{"medlargrade explain", contains("submission answered", "run planned", "start ordered at the worker", "run ended", "completed")},
		{"medlargrade dump", contains(`"Planner"`, `"Targets"`)},
		{"medlargrade-report", func(t *testing.T, _ string) {
			b, err := os.ReadFile(filepath.Join(tr.dir, "report.html"))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(b), qt.Contains, "cut-check")
		}},
		{"medlargrade place request.json", contains("starts", "t1")},
		{"medlargrade place", contains("ended")},
		{"echo", func(*testing.T, string) {}},
		{"echo", func(*testing.T, string) {}},
		{"medlargrade experiment", contains("5 runs of each policy, seeds from 1", "default", "other", "cut-check", "largest tenth")},
		{"medlargrade experiment", func(*testing.T, string) {}},
		{"medlargrade-report", func(t *testing.T, _ string) {
			b, err := os.ReadFile(filepath.Join(tr.dir, "comparison.html"))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(b), qt.Contains, "5 runs of each policy")
		}},
	}
	placeholders := strings.NewReplacer(
		"--platform URL", "--platform "+tr.url("8400"), "--process URL", "--process "+tr.url("8091"),
		"explain ID", "explain "+job, "place ID", "place "+job, "--expect 41", "--expect 1", "--at 40", "--at 1",
		"experiment load.json", "experiment "+filepath.Join(repoRoot(t), "examples/quillfold/load.json"),
		"go run ./site > site.json", "cd "+repoRoot(t)+" && go run ./examples/quillfold > "+tr.dir+"/site.json",
	)
	request := `{"Workspace": "roller", "Kind": "cut-check", "Shape": {"Workers": 1, "Accelerators": 1}}`
	qt.Assert(t, os.WriteFile(filepath.Join(tr.dir, "request.json"), []byte(request), 0o600), qt.IsNil)
	for _, block := range codeBlocks(page) {
		if strings.HasPrefix(block, "fleetbench ") {
			continue
		}
		if strings.HasPrefix(block, "$ medlargrade explain ") {
			checkExplanation(t, block)
			continue
		}
		for line := range strings.Lines(block) {
			line, _, _ = strings.Cut(line, " # ")
			line = strings.TrimSpace(line)
			qt.Assert(t, len(expected) > 0 && strings.HasPrefix(line, expected[0].command), qt.IsTrue, qt.Commentf("unexpected command %q", line))
			for _, variant := range variants(placeholders.Replace(line)) {
				expected[0].check(t, tr.run(variant))
			}
			expected = expected[1:]
		}
	}
	qt.Check(t, expected, qt.HasLen, 0)
}

// variants returns a command without its optional parts, which are in brackets, and once with
// each of them.
func variants(line string) []string {
	optional := regexp.MustCompile(` \[([^]]*)\]`)
	out := []string{optional.ReplaceAllString(line, "")}
	for _, m := range optional.FindAllStringSubmatch(line, -1) {
		out = append(out, out[0]+" "+m[1])
	}
	return out
}

// checkExplanation checks the form of an explanation on a page, and that its events are
// described as the program does.
func checkExplanation(t *testing.T, block string) {
	t.Helper()
	form := regexp.MustCompile(`^[+-]\d+\.\d{3} s +\S+ +(\d{3})  (.*)$`)
	summary := regexp.MustCompile(`^job [0-9a-f]{16}: `)
	for i, line := range strings.Split(strings.TrimSpace(block), "\n") {
		m := form.FindStringSubmatch(line)
		switch {
		case i == 0 || line == "" || summary.MatchString(line):
		case m == nil:
			t.Errorf("explain doesn't print such a line: %q", line)
		default:
			event, err := strconv.Atoi(m[1])
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, eventDescriptions[event], qt.Not(qt.Equals), "", qt.Commentf("%s", line))
			qt.Check(t, strings.HasPrefix(m[2], eventDescriptions[event]+" "), qt.IsTrue, qt.Commentf("event %d is described as %q: %s", event, eventDescriptions[event], line))
		}
	}
}
