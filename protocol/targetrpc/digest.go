// Package targetrpc holds the messages and the service of the target process,
// and the digest of an answer.
//
// # Usage
//
//	reply, err := client.Await(ctx, request)
//	if err != nil {
//		return err
//	}
//	if err := targetrpc.Verify(reply); err != nil {
//		return err // Ask again.
//	}
package targetrpc

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ErrDigest reports an answer whose digest does not match its parts.
var ErrDigest = errors.New("digest of the answer does not match")

// Digest returns the xxhash64 over an attempt and the parts of its answer, each
// string preceded by its length. A part counts with its body, its error and
// whether it failed, so that an answer can't be taken for that of another
// attempt or lose a part unnoticed.
func Digest(id *AttemptID, parts []*Part) uint64 {
	d := xxhash.New()
	var n [8]byte
	number := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = d.Write(n[:]) // Write of a hash never fails.
	}
	number(uint64(len(id.GetJob())))
	_, _ = d.WriteString(id.GetJob())
	number(uint64(id.GetNumber()))
	number(uint64(len(parts)))
	for _, p := range parts {
		number(uint64(len(p.GetBody())))
		_, _ = d.Write(p.GetBody())
		failed := uint64(0)
		if p.GetFailed() {
			failed = 1
		}
		number(failed)
		number(uint64(len(p.GetError())))
		_, _ = d.WriteString(p.GetError())
	}
	return d.Sum64()
}

// Verify checks that the answer of a reply is whole and belongs to the attempt
// that the reply names. The caller checks that this is the attempt that it asked
// for. A reply without an answer is valid unless its state demands one.
func Verify(r *AttemptReply) error {
	a := r.GetAnswer()
	if a == nil {
		if r.GetState() == AttemptState_ATTEMPT_RAN {
			return fmt.Errorf("attempt %s/%d ran but its reply has no answer", r.GetAttempt().GetJob(), r.GetAttempt().GetNumber())
		}
		return nil
	}
	if got := Digest(r.GetAttempt(), a.GetParts()); got != a.GetDigest() {
		return fmt.Errorf("attempt %s/%d: %w", r.GetAttempt().GetJob(), r.GetAttempt().GetNumber(), ErrDigest)
	}
	return nil
}
