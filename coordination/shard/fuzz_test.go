package shard_test

import (
	"testing"

	"github.com/medlargrade/medlargrade/coordination/shard"
)

// Guards against a row that panics, and against an owner's row without an epoch that counts
// as one that can be decoded: the next epoch would be lower than earlier ones.
func FuzzOwnRows(f *testing.F) {
	f.Add([]byte(`{"Epoch":3,"Name":"a","Silent":{"b":5}}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"Address":"x"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if row, err := shard.DecodeOwner(value); err == nil && row.Epoch == 0 {
			t.Fatalf("decoded %+v", row)
		}
		_, _ = shard.DecodeTarget(value)
	})
}
