package ledger

import "fmt"

// Prefix of the keys of all segments.
const Prefix = "ledger/"

// Segment is a batch of run records of one holder, stored in one transaction
// with the accounts that it changes.
type Segment struct {
	Holder    string   `json:"holder"`
	Seq       int64    `json:"seq"` // from 1 per holder
	Recovered bool     `json:"recovered,omitempty"`
	Records   []Record `json:"records"`
}

// Key returns the key of the row that stores the segment.
func (s Segment) Key() string {
	return fmt.Sprintf("%s%012d", HolderSegmentPrefix(s.Holder), s.Seq)
}

// HolderSegmentPrefix returns the prefix of the keys of a holder's segments.
func HolderSegmentPrefix(holder string) string { return Prefix + holder + "/" }
