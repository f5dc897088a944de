package shard

import (
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

const (
	// maxPieceBytes and maxPieceOrders bound the orders of one call: their encoded size, and their
	// number, since an agent answers a call when its worker has answered each order of it. An order
	// that is larger is sent alone.
	maxPieceBytes  = agentrpc.MaxMessageBytes / 8
	maxPieceOrders = 500
	// orderOverhead bounds the bytes that an order adds to the request beside its own.
	orderOverhead = 16
)

// splitOrders splits the orders for a target into pieces that can be sent in one call each. The
// order stays the same.
func splitOrders(t planner.TargetOrders) []planner.TargetOrders {
	var pieces []planner.TargetOrders
	piece, bytes := t, 0
	piece.Orders = nil
	for _, o := range t.Orders {
		n := proto.Size(o.Message) + orderOverhead
		if len(piece.Orders) > 0 && (bytes+n > maxPieceBytes || len(piece.Orders) == maxPieceOrders) {
			pieces = append(pieces, piece)
			piece.Orders, bytes = nil, 0
		}
		piece.Orders = append(piece.Orders, o)
		bytes += n
	}
	return append(pieces, piece)
}
