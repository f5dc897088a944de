package table

import (
	"encoding/json"
	"fmt"
)

// EncodeValue returns the JSON encoding of v as the value of a row. It panics if v
// can't be encoded; the types that are stored in rows always can.
func EncodeValue(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("table: encode value of a row: %v", err))
	}
	return b
}
