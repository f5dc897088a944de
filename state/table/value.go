package table

import (
	"encoding/json"
	"fmt"
)

// EncodeValue returns v as the value of a row. It is for the types of rows, which
// have no value that fails.
func EncodeValue(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("table: encode value of a row: %v", err))
	}
	return b
}
