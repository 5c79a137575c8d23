// Package era defines versions of rows in a table that may be restored from an older
// copy.
package era

import "encoding/json"

// Version is the version of a row. A restore of the table from an older copy starts a
// new era: writes since the copy are lost, and their numbers are given out again. A
// number therefore identifies the content of a row only together with its era.
type Version struct {
	Era    int64 // 0 if the table does not report eras
	Number int64 // at least 1; 0 in the version of a row that does not exist
	// Mark identifies the write of the row, if that was marked; see
	// platform.ContentGuard. It stays in the process that has read it.
	Mark string
}

// IsZero reports whether the version stands for a row that does not exist.
func (v Version) IsZero() bool { return v.Number == 0 }

// After reports whether the version was given out later than another one of the same
// row.
func (v Version) After(other Version) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Number > other.Number
}

// MarshalJSON encodes a version without an era as its number, and any other one as the
// list of era and number.
func (v Version) MarshalJSON() ([]byte, error) {
	if v.Era == 0 {
		return json.Marshal(v.Number)
	}
	return json.Marshal([2]int64{v.Era, v.Number})
}

// UnmarshalJSON decodes both forms.
func (v *Version) UnmarshalJSON(data []byte) error {
	*v = Version{}
	if len(data) > 0 && data[0] == '[' {
		var pair [2]int64
		err := json.Unmarshal(data, &pair)
		v.Era, v.Number = pair[0], pair[1]
		return err
	}
	return json.Unmarshal(data, &v.Number)
}
