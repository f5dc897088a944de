package platformapi

// Paths of the protocol.
const (
	PathRead   = "/table/read"  // POST ReadRequest, answered with Row or 404
	PathScan   = "/table/scan"  // POST ScanRequest, answered with ScanReply
	PathWrite  = "/table/write" // POST WriteRequest, answered with WriteReply or 409
	PathObject = "/object/"     // GET and PUT, followed by the escaped key
)

// MaxBody is the largest body of a request or a reply, in bytes.
const MaxBody = 64 << 20

// ReadRequest asks for one row.
type ReadRequest struct {
	Table string
	Key   string
}

// Row is one row. Value is base64 in JSON.
type Row struct {
	Key     string
	Version uint64 // grows with each write; never zero
	Value   []byte
}

// ScanRequest asks for the rows whose keys have the prefix and come after the
// key After, in key order.
type ScanRequest struct {
	Table  string
	Prefix string
	After  string
	Limit  int // at least 1
}

// ScanReply answers a ScanRequest.
type ScanReply struct {
	Rows []Row
}

// WriteRequest applies all writes or none.
type WriteRequest struct {
	Writes []Write
}

// Write is one conditional write.
type Write struct {
	Table     string
	Key       string
	IfVersion uint64 // 0 demands that the row is absent
	Value     []byte `json:",omitempty"`
	Delete    bool   `json:",omitempty"`
}

// WriteReply answers a WriteRequest that took effect.
type WriteReply struct {
	Applied bool // true; tells a whole reply from a truncated one
}

// ErrorReply answers a request that failed.
type ErrorReply struct {
	Error      string
	Keys       []string `json:",omitempty"` // "<table>/<key>" of the rows in conflict
	NotApplied bool     // the request is known to have had no effect
}
