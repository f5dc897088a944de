package pipenet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// streamBuffer is the number of bytes that one direction of a connection holds
// before writes block.
const streamBuffer = 64 << 10

// conn is one end of a connection.
type conn struct {
	n             *Network
	in, out       *stream
	local, remote addr
	peer, dialled *conn
	once          sync.Once
	closedEnds    int // of the dialling end, under the network's lock
}

// Read reads what the peer wrote.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // read returns io.EOF unwrapped, as net.Conn must.
		err = opError("read", c.remote, err)
	}
	return n, err
}

// Write sends p to the peer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	if err != nil {
		err = opError("write", c.remote, err)
	}
	return n, err
}

// Close ends both directions. The peer reads what was written before.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.in.closeReader()
		c.out.closeWriter()
		c.n.endClosed(c.dialled)
	})
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the peer.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// stream is one direction of a connection.
type stream struct {
	from, to string

	mu       sync.Mutex
	cond     sync.Cond
	segments []segment
	size     int // bytes in segments
	eof      bool
	eofAt    time.Time
	readGone bool // the reading end has closed

	wasReset     bool
	frozen       bool
	cut          bool // this direction
	backCut      bool // the other direction, which carries the notice of a closed reader
	delay        time.Duration
	lastArrival  time.Time
	arrivalTimer *time.Timer

	readDeadline, writeDeadline deadline
}

// segment is the data of one write.
type segment struct {
	data    []byte
	arrival time.Time
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newStream(from, to string) *stream {
	s := &stream{from: from, to: to}
	s.cond.L = &s.mu
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.readGone:
			return 0, net.ErrClosed
		case s.wasReset:
			return 0, syscall.ECONNRESET
		case s.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		}
		if !s.cut && !s.frozen {
			now := time.Now()
			if len(s.segments) > 0 {
				if n := s.takeLocked(p, now); n > 0 {
					return n, nil
				}
				s.wakeAtLocked(s.segments[0].arrival)
			} else if s.eof {
				if !now.Before(s.eofAt) {
					return 0, io.EOF
				}
				s.wakeAtLocked(s.eofAt)
			}
		}
		s.cond.Wait()
	}
}

func (s *stream) takeLocked(p []byte, now time.Time) int {
	n := 0
	for n < len(p) && len(s.segments) > 0 && !now.Before(s.segments[0].arrival) {
		seg := &s.segments[0]
		k := copy(p[n:], seg.data)
		n += k
		if seg.data = seg.data[k:]; len(seg.data) == 0 {
			s.segments = s.segments[1:]
		}
	}
	if n > 0 {
		s.size -= n
		s.cond.Broadcast()
	}
	return n
}

// wakeAtLocked wakes the waiting reads and writes at t.
func (s *stream) wakeAtLocked(t time.Time) {
	if s.arrivalTimer != nil {
		s.arrivalTimer.Stop()
	}
	s.arrivalTimer = time.AfterFunc(max(time.Until(t), 1), s.wake)
}

func (s *stream) wake() {
	// The lock prevents a wake-up between the check and the wait of a waiter.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for {
		silent := s.cut || s.frozen
		switch {
		case s.eof:
			return n, net.ErrClosed
		case s.wasReset:
			return n, syscall.ECONNRESET
		case s.writeDeadline.passed():
			return n, os.ErrDeadlineExceeded
		case s.readGone && !silent && !s.backCut:
			return n, syscall.EPIPE
		case n == len(p):
			return n, nil
		}
		if k := min(len(p)-n, streamBuffer-s.size); k > 0 {
			data := append([]byte(nil), p[n:n+k]...)
			s.segments = append(s.segments, segment{data: data, arrival: s.arrivalLocked()})
			s.size += k
			n += k
			s.cond.Broadcast()
			if n == len(p) {
				return n, nil
			}
			continue
		}
		s.cond.Wait()
	}
}

// arrivalLocked returns when something sent now arrives. Data is never
// reordered when the delay becomes shorter.
func (s *stream) arrivalLocked() time.Time {
	if t := time.Now().Add(s.delay); t.After(s.lastArrival) {
		s.lastArrival = t
	}
	return s.lastArrival
}

func (s *stream) closeWriter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eof, s.eofAt = true, s.arrivalLocked()
	s.writeDeadline.stop()
	s.cond.Broadcast()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readGone = true
	s.segments, s.size = nil, 0
	s.readDeadline.stop()
	s.cond.Broadcast()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wasReset = true
	s.cond.Broadcast()
}

func (s *stream) freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = true
	s.cond.Broadcast()
}

func (s *stream) setFaults(cut, backCut bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.backCut, s.delay = cut, backCut, delay
	s.cond.Broadcast()
}

func (s *stream) setDeadline(d *deadline, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.stop()
	d.at = t
	// A deadline that has passed needs no timer. A timer that is over at once is
	// avoided: with several bubbles the race detector of Go 1.26 crashes on it.
	if left := time.Until(t); !t.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, s.wake)
	}
	s.cond.Broadcast()
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
