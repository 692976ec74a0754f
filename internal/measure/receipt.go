package measure

import (
	"encoding/json"
	"fmt"

	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

// receiptMismatch describes how the answer of a plain service differs from the
// expected receipt for the request. It is empty if it does not differ.
func receiptMismatch(r *record) string {
	var receipt plain.Receipt
	if err := json.Unmarshal(r.body, &receipt); err != nil {
		return fmt.Sprintf("no receipt: %v", err)
	}
	switch {
	case receipt.Path != pathOf(r.plannedRequest):
		return fmt.Sprintf("the receipt is for the path %s", receipt.Path)
	case receipt.IdempotencyKey != r.key:
		return fmt.Sprintf("the receipt is for the key %s", receipt.IdempotencyKey)
	case r.key == "" && receipt.RequestID != r.requestID:
		return fmt.Sprintf("the receipt is for the request %s", receipt.RequestID)
	}
	return ""
}
