package ledger

import "fmt"

// Prefix is the key prefix of all segments, and the name prefix of all archive
// objects.
const Prefix = "ledger/"

// Segment is a batch of run records of one holder. It is stored in the same
// transaction as the accounts that its records change.
type Segment struct {
	Holder    string   `json:"holder"`
	Seq       int64    `json:"seq"`                 // counted from 1 for each holder
	Recovered bool     `json:"recovered,omitempty"` // written by the recovery of a dead holder
	Records   []Record `json:"records"`
}

// Key returns the key of the row that stores the segment.
func (s Segment) Key() string {
	return fmt.Sprintf("%s%012d", HolderSegmentPrefix(s.Holder), s.Seq)
}

// HolderSegmentPrefix returns the key prefix of a holder's segments.
func HolderSegmentPrefix(holder string) string { return Prefix + holder + "/" }
