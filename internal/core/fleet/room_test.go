package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/fleet"
)

// Guards against a domain that counts gateways of other domains, rows that are no longer
// renewed, or a row of an earlier process as this one's.
func TestDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := fleet.NewState("a")
	row := func(key, value string) fleet.Row { return fleet.Row{Key: key, Value: []byte(value)} }
	_, err := s.Apply(now, fleet.Changes{Complete: true, Rows: []fleet.Row{
		row(fleet.RouterKey("b"), `{"renewal":1,"failure_domain":"z"}`),
		row(fleet.RouterKey("c"), `{"renewal":1,"failure_domain":"y"}`),
		row(fleet.RouterKey("d"), `{"renewal":1}`),
		row(fleet.RoomKey("a"), `{"failure_domain":"z","incarnation":"1","stay_ms":50000}`),
		row(fleet.RoomKey("b"), `{"failure_domain":"z","incarnation":"1"}`),
		row(fleet.RoomKey("c"), `{"failure_domain":"y","incarnation":"1"}`),
	}})
	assert.NilError(t, err)
	d := s.Domain(now, "z", "2")
	assert.Assert(t, d.Routers == 2 && d.OutOfRotation == 2 && !d.SelfTold, "%+v", d)
	left, ok := s.LeftRoom("2")
	assert.Assert(t, ok && left.StayMS == 50000)

	later := now.Add(20 * time.Second)
	_, err = s.Apply(later, fleet.Changes{Rows: []fleet.Row{row(fleet.RoomKey("a"), `{"failure_domain":"z","incarnation":"2"}`)}})
	assert.NilError(t, err)
	d = s.Domain(later, "z", "2")
	assert.Assert(t, d.OutOfRotation == 1 && d.SelfTold, "%+v", d)
	_, ok = s.LeftRoom("2")
	assert.Assert(t, !ok)
	assert.Equal(t, len(s.ExpiredRooms()), 2)

	_, err = s.Apply(later, fleet.Changes{Rows: []fleet.Row{{Key: fleet.RoomKey("a"), Removed: true}}})
	assert.NilError(t, err)
	assert.Equal(t, s.Domain(later, "z", "2").OutOfRotation, 0)
}
