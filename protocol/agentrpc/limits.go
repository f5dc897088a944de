package agentrpc

// MaxMessageBytes limits the encoded size of a message between processes, in both directions. A
// larger one is neither sent nor received. It leaves room for a response of up to 4 MiB and the
// message that encloses it.
const MaxMessageBytes = 8 << 20
