package pipenet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// streamBuffer is the number of bytes that one direction of a connection buffers
// before writes block.
const streamBuffer = 64 << 10

// conn is one end of a connection.
type conn struct {
	n             *Network
	in, out       *stream
	local, remote addr
	peer, dialEnd *conn
	closeOnce     sync.Once
	endsClosed    int // number of closed ends, kept at the dialling end; guarded by the network's lock
}

// Read reads data written by the peer.
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

// Close closes both directions. The peer can still read data written before.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.in.closeReader()
		c.out.closeWriter()
		c.n.connEndClosed(c.dialEnd)
	})
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the peer.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and write deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the write deadline.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// stream is one direction of a connection.
type stream struct {
	from, to string

	mu           sync.Mutex
	cond         sync.Cond
	segments     []segment
	buffered     int // bytes in segments
	eof          bool
	eofAt        time.Time
	readerClosed bool // the reading end is closed

	wasReset    bool
	frozen      bool
	cut         bool // this direction is cut
	reverseCut  bool // the other direction is cut, so the writer can't learn that the reader closed
	delay       time.Duration
	lastArrival time.Time
	wakeTimer   *time.Timer

	readDeadline, writeDeadline deadline
}

// segment is data with one arrival time.
type segment struct {
	data    []byte
	arrival time.Time
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

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
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.wasReset:
			return 0, syscall.ECONNRESET
		case s.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		}
		if !s.cut && !s.frozen {
			now := time.Now()
			if len(s.segments) > 0 {
				if n := s.readArrivedLocked(p, now); n > 0 {
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

// readArrivedLocked copies data that has arrived by now into p.
func (s *stream) readArrivedLocked(p []byte, now time.Time) int {
	n := 0
	for n < len(p) && len(s.segments) > 0 && !now.Before(s.segments[0].arrival) {
		seg := &s.segments[0]
		copied := copy(p[n:], seg.data)
		n += copied
		if seg.data = seg.data[copied:]; len(seg.data) == 0 {
			s.segments = s.segments[1:]
		}
	}
	if n > 0 {
		s.buffered -= n
		s.cond.Broadcast()
	}
	return n
}

// wakeAtLocked wakes blocked reads and writes at t.
func (s *stream) wakeAtLocked(t time.Time) {
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
	}
	s.wakeTimer = time.AfterFunc(max(time.Until(t), 1), s.wake)
}

func (s *stream) wake() {
	// Without the lock, the wake-up could occur between a waiter's check and its
	// wait, and be lost.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for {
		stalled := s.cut || s.frozen
		switch {
		case s.eof:
			return n, net.ErrClosed
		case s.wasReset:
			return n, syscall.ECONNRESET
		case s.writeDeadline.expired():
			return n, os.ErrDeadlineExceeded
		case s.readerClosed && !stalled && !s.reverseCut:
			return n, syscall.EPIPE
		case n == len(p):
			return n, nil
		}
		if accepted := min(len(p)-n, streamBuffer-s.buffered); accepted > 0 {
			data := append([]byte(nil), p[n:n+accepted]...)
			s.segments = append(s.segments, segment{data: data, arrival: s.arrivalLocked()})
			s.buffered += accepted
			n += accepted
			s.cond.Broadcast()
			if n == len(p) {
				return n, nil
			}
			continue
		}
		s.cond.Wait()
	}
}

// arrivalLocked returns the arrival time of data sent now. It is never before the
// arrival of earlier data, so that a shorter delay does not reorder data.
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
	s.readerClosed = true
	s.segments, s.buffered = nil, 0
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

func (s *stream) setFaults(cut, reverseCut bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut, s.reverseCut, s.delay = cut, reverseCut, delay
	s.cond.Broadcast()
}

func (s *stream) setDeadline(d *deadline, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.stop()
	d.at = t
	// A past deadline gets no timer. Besides being unnecessary, a timer that fires
	// at once crashes the race detector of Go 1.26 if there are several bubbles.
	if remaining := time.Until(t); !t.IsZero() && remaining > 0 {
		d.timer = time.AfterFunc(remaining, s.wake)
	}
	s.cond.Broadcast()
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
