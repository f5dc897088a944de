package pipenet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// connect returns both ends of a new connection from host a to host b, and closes
// the listener.
func connect(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	l, err := n.Host("b").Listen("b:1")
	qt.Assert(t, err, qt.IsNil)
	client, err = n.Host("a").Dial(t.Context(), "b:1")
	qt.Assert(t, err, qt.IsNil)
	server, err = l.Accept()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	return client, server
}

// Guards against a fault that lets data through, loses data once it is repaired, or
// affects a direction or dials that it should not.
func TestFaults(t *testing.T) {
	tests := []struct {
		name            string
		fault           func(n *Network)
		repair          func(n *Network)
		readErr         error // of a read at b, with a timeout of 1 s, after a write at a
		repairedReadErr error // of the same read after the repair
		reverseReadErr  error // of a read at a during the fault
		dialErr         error // of a dial during the fault; not dialled if nil
	}{
		{name: "none", fault: func(*Network) {}, repair: func(*Network) {}},
		{
			name: "cut a to b", fault: func(n *Network) { n.Cut("a", "b") }, repair: func(n *Network) { n.Heal("a", "b") },
			readErr: os.ErrDeadlineExceeded, dialErr: context.DeadlineExceeded,
		},
		{
			name: "cut b to a", fault: func(n *Network) { n.Cut("b", Any) }, repair: func(n *Network) { n.Heal(Any, Any) },
			reverseReadErr: os.ErrDeadlineExceeded, dialErr: context.DeadlineExceeded,
		},
		{
			name: "cut both directions", fault: func(n *Network) { n.CutBoth("a", "b") }, repair: func(n *Network) { n.HealBoth("b", "a") },
			readErr: os.ErrDeadlineExceeded, reverseReadErr: os.ErrDeadlineExceeded, dialErr: context.DeadlineExceeded,
		},
		{
			name: "freeze", fault: func(n *Network) { n.Freeze("b", "a") }, repair: func(n *Network) { n.Heal(Any, Any) },
			readErr: os.ErrDeadlineExceeded, repairedReadErr: os.ErrDeadlineExceeded, reverseReadErr: os.ErrDeadlineExceeded, dialErr: syscall.ECONNREFUSED,
		},
		{
			name: "reset", fault: func(n *Network) { n.Reset("a", "b") }, repair: func(*Network) {},
			readErr: syscall.ECONNRESET, repairedReadErr: syscall.ECONNRESET, reverseReadErr: syscall.ECONNRESET, dialErr: syscall.ECONNREFUSED,
		},
	}
	read := func(c net.Conn) error {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 8))
		return err
	}
	check := func(t *testing.T, err, want error) {
		t.Helper()
		qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("got %v, want %v", err, want))
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n Network
				a, b := connect(t, &n)
				tt.fault(&n)
				_, _ = a.Write([]byte("forth"))
				_, _ = b.Write([]byte("back"))
				check(t, read(b), tt.readErr)
				check(t, read(a), tt.reverseReadErr)
				if tt.dialErr != nil {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					_, err := n.Host("a").Dial(ctx, "b:1")
					cancel()
					check(t, err, tt.dialErr)
				}
				tt.repair(&n)
				if tt.readErr != nil {
					check(t, read(b), tt.repairedReadErr)
				}
				_, _ = a.Write([]byte("again"))
				check(t, read(b), tt.repairedReadErr)
				_, _ = a.Close(), b.Close()
				qt.Check(t, n.Conns(Any, Any), qt.Equals, 0)
			})
		})
	}
}

// Guards against data that arrives before its delay, out of order or after the end
// of the stream.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		a, b := connect(t, &n)
		start := time.Now()
		n.SetDelay("a", "b", 300*time.Millisecond)
		_, _ = a.Write([]byte("one "))
		n.SetDelay("a", "b", 0)
		_, _ = a.Write([]byte("two"))
		_ = a.Close()
		got, err := io.ReadAll(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, "one two")
		qt.Check(t, time.Since(start), qt.Equals, 300*time.Millisecond)
	})
}

// Guards against a close during a cut that the peer does not see after the cut is
// healed.
func TestCloseDuringCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		a, b := connect(t, &n)
		n.Cut("a", "b")
		_, _ = a.Write([]byte("last"))
		_ = a.Close()
		time.AfterFunc(time.Minute, func() { n.Heal("a", "b") })
		start := time.Now()
		got, err := io.ReadAll(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, "last")
		qt.Check(t, time.Since(start), qt.Equals, time.Minute)
	})
}

// Guards against writes that do not block on a full buffer, and against blocked
// writes that do not return at their deadline or when the peer closes.
func TestFullBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		a, b := connect(t, &n)
		_ = a.SetWriteDeadline(time.Now().Add(time.Second))
		written, err := a.Write(make([]byte, streamBuffer+1))
		qt.Check(t, written, qt.Equals, streamBuffer)
		qt.Check(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
		_ = a.SetWriteDeadline(time.Time{})
		time.AfterFunc(time.Second, func() { _ = b.Close() })
		_, err = a.Write([]byte("x"))
		qt.Check(t, err, qt.ErrorIs, syscall.EPIPE)
	})
}

// Guards against dials that hang if the address is closed or refuses connections,
// and against an address that stays in use after Close.
func TestListen(t *testing.T) {
	var n Network
	h := n.Host("b")
	l, err := h.Listen("b:1")
	qt.Assert(t, err, qt.IsNil)
	_, err = h.Listen("b:1")
	qt.Check(t, err, qt.ErrorIs, syscall.EADDRINUSE)
	_, err = h.Listen("c:1")
	qt.Check(t, err, qt.IsNotNil)
	n.SetRefuse(Any, "b", true)
	_, err = h.Dial(t.Context(), "b:1")
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
	n.SetRefuse(Any, "b", false)
	c, err := h.Dial(t.Context(), "b:1")
	qt.Assert(t, err, qt.IsNil)
	_ = l.Close()
	_, err = c.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	_, err = h.Dial(t.Context(), "b:1")
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
	_, err = h.Listen("b:1")
	qt.Check(t, err, qt.IsNil)
}
