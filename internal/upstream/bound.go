package upstream

import "fmt"

// MaxSkippedBytes bounds the body of a response to another request.
const MaxSkippedBytes = 64 << 10

// TooLongError reports that a target has sent more than a bound permits. The rest is not
// read.
type TooLongError struct {
	What  string
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s of the target exceeds %d", e.What, e.Limit)
}
