package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func outRows() (rows []Row) {
	for _, host := range []string{"a", "b", "c", "d", "e", "f"} {
		value, _ := json.Marshal(RouterRow{Incarnation: "1", Renewal: 1, FailureDomain: "z"})
		rows = append(rows, Row{Key: RouterKey(host), Value: value})
	}
	for _, host := range []string{"a", "b"} {
		value, _ := json.Marshal(RoomRow{FailureDomain: "z", Incarnation: "1", Renewal: 1, StayMS: 50_000})
		rows = append(rows, Row{Key: RoomKey(host), Value: value})
	}
	return rows
}

// Guards against a second third of a domain that leaves while the first is out, because the
// store cannot be read.
func TestRoomRowsOutlastTheStore(t *testing.T) {
	s, now := NewState("c"), time.Unix(1000, 0)
	_, err := s.Apply(now, Changes{Complete: true, Rows: outRows()})
	assert.NilError(t, err)
	now = now.Add(roomTimeout + time.Second) // nothing is read, the stay of a and b lasts 50 s
	d := s.Domain(now, "z", "1")
	t.Logf("%+v", d)
	assert.Check(t, d.OutOfRotation == 2)
}

// Guards against the row of a router that is gone, which counts again with each complete read.
func TestCompleteReadDoesNotRenewRoomRows(t *testing.T) {
	s, now := NewState("c"), time.Unix(1000, 0)
	for range 10 {
		_, err := s.Apply(now, Changes{Complete: true, Rows: outRows()})
		assert.NilError(t, err)
		now = now.Add(roomTimeout - time.Second)
	}
	d := s.Domain(now, "z", "1")
	t.Logf("%+v expired %v", d, s.ExpiredRooms())
	assert.Check(t, d.OutOfRotation == 0)
}
