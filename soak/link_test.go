package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// linkTimeout is longer than a round trip on loopback, also over a slow link.
const linkTimeout = 300 * time.Millisecond

// echoServer starts a server that echoes what it reads, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	var lc net.ListenConfig
	lis, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return lis.Addr().String()
}

// roundTrip sends a line and returns an error if it is not echoed within linkTimeout.
func roundTrip(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("x\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

// Guards against a link that forwards data while it must not, or loses held data when
// its state changes back.
func TestLinkStates(t *testing.T) {
	isTimeout := func(err error) bool {
		var n net.Error
		return errors.As(err, &n) && n.Timeout()
	}
	isRefused := func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
	impose := func(s linkState) func(l *Link) { return func(l *Link) { l.Impose(linkFault{state: s}) } }
	none := func(net.Conn) bool { return false }
	tests := []struct {
		name          string
		inject        func(l *Link)
		wantOpen      func(err error) bool // round trip on a connection opened before; nil for success
		wantNew       func(err error) bool // round trip on a new connection; nil for success
		deliversLater bool                 // the held echo arrives when the link opens again
	}{
		{"open", func(*Link) {}, nil, nil, false},
		{"silent", impose(linkSilent), isTimeout, isTimeout, true},
		{"one way", impose(linkOneWay), isTimeout, isTimeout, true},
		{"reset", impose(linkReset), isReset, isReset, false},
		{"refuse", impose(linkRefuse), isReset, isRefused, false},
		{"slow", impose(linkSlow), nil, nil, false},
		{"reset for others", func(l *Link) { l.Impose(linkFault{linkReset, none}) }, nil, nil, false},
		{"refuse for others", func(l *Link) { l.Impose(linkFault{linkRefuse, none}) }, nil, isRefused, false},
		{"another fault ends", func(l *Link) {
			lift := l.Impose(linkFault{state: linkReset})
			l.Impose(linkFault{state: linkRefuse})
			lift()
		}, isReset, isRefused, false},
		{"ended", func(l *Link) { l.Impose(linkFault{state: linkSilent})() }, nil, nil, false},
		{"stale", func(l *Link) { l.SilenceOpen() }, isTimeout, nil, false},
		{"reset once", func(l *Link) { l.ResetOpen() }, isReset, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := NewLink(t.Context(), echoServer(t), linkTimeout/10)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(l.Close)
			dial := func() (net.Conn, error) {
				var d net.Dialer
				c, err := d.DialContext(t.Context(), "tcp", l.Address())
				if err == nil {
					t.Cleanup(func() { _ = c.Close() })
				}
				return c, err
			}
			roundTripNew := func() error {
				c, err := dial()
				if err != nil {
					// A reset can arrive before the dial returns.
					qt.Assert(t, errors.Is(err, syscall.ECONNRESET) || isRefused(err), qt.IsTrue, qt.Commentf("%v", err))
					return err
				}
				return roundTrip(c)
			}
			c, err := dial()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, roundTrip(c), qt.IsNil)
			tt.inject(l)
			check := func(err error, want func(error) bool) {
				if want == nil {
					qt.Assert(t, err, qt.IsNil)
					return
				}
				qt.Assert(t, want(err), qt.IsTrue, qt.Commentf("%v", err))
			}
			check(roundTrip(c), tt.wantOpen)
			check(roundTripNew(), tt.wantNew)
			l.Clear()
			if tt.deliversLater {
				qt.Assert(t, c.SetDeadline(time.Now().Add(linkTimeout)), qt.IsNil)
				_, err := bufio.NewReader(c).ReadString('\n')
				qt.Assert(t, err, qt.IsNil)
			}
			for isRefused(roundTripNew()) {
				time.Sleep(linkListenPause)
			}
			qt.Assert(t, roundTripNew(), qt.IsNil)
		})
	}
}

// Guards against a process that is cut off from itself, or not from others, because its connections
// are taken for those of others.
func TestProgramOwnsConnection(t *testing.T) {
	var lc net.ListenConfig
	lis, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	var d net.Dialer
	client, err := d.DialContext(t.Context(), "tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = client.Close() }()
	accepted, err := lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	processOf := func(pid int) *program { return &program{cmd: &exec.Cmd{Process: &os.Process{Pid: pid}}} }
	tests := []struct {
		name string
		p    *program
		want bool
	}{
		{"this process", processOf(os.Getpid()), true},
		{"another process", processOf(os.Getppid()), false},
		{"no process", &program{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { qt.Assert(t, tt.p.owns(accepted), qt.Equals, tt.want) })
	}
}

// isReset reports whether err says that a connection was closed or reset.
func isReset(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.As(err, &op) && !op.Timeout()
}
