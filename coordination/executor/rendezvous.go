package executor

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// rendezvous orders addresses by their hash with a key, highest first. All
// targets of a rack order them alike, and the loss of an address moves only
// those that chose it.
func rendezvous(key string, addresses []string) []string {
	weight := func(a string) uint64 { return xxhash.Sum64String(key + "\x00" + a) }
	slices.SortFunc(addresses, func(a, b string) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return addresses
}
