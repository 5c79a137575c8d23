package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// roomPrefix is followed by the host of a router that is out of the load balancer's
// rotation, or wants to be.
const roomPrefix = Prefix + "room/"

// RoomRow is the value of the row of a router that is out of rotation or wants to be,
// because its host has too little room.
type RoomRow struct {
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
	Renewal       int64  `json:"renewal"` // number of the renewal, from 1
	StayMS        int64  `json:"stay_ms"` // how long it stays out of rotation at least
}

// RoomKey returns the key of the row of a router that is out of rotation.
func RoomKey(host string) string { return roomPrefix + rowkey.Name(host, maxNameBytes) }

// Timing of the renewals of a RoomRow.
const (
	RoomRenewInterval = 5 * time.Second
	roomTimeout       = 3 * RoomRenewInterval
)

// roomState is a RoomRow and when it was last renewed.
type roomState struct {
	row       RoomRow
	renewedAt time.Time
}

func (s *State) applyRoom(now time.Time, row Row) error {
	host, ok := strings.CutPrefix(row.Key, roomPrefix)
	if !ok {
		return nil
	}
	var room RoomRow
	if err := json.Unmarshal(row.Value, &room); err != nil {
		return err
	}
	s.rooms[host] = roomState{room, now}
	return nil
}

func (s *State) removeRoom(key string) {
	if host, ok := strings.CutPrefix(key, roomPrefix); ok {
		delete(s.rooms, host)
	}
}

// roomExpired reports whether a router no longer renews its row. While this router cannot
// read the rows, none expires: its router may still be out.
func (s *State) roomExpired(room roomState) bool { return s.readAt.Sub(room.renewedAt) > roomTimeout }

// Domain is what is known of the routers of a failure domain.
type Domain struct {
	Routers       int  // live ones, this one included
	OutOfRotation int  // those that are out of rotation or want to be, this one included
	SelfTold      bool // the row of this incarnation of this router was read back
	Turn          int  // place of this router in a fixed order of the live ones, from 0
}

// Domain returns what is known of the routers of a failure domain, which is this
// router's.
func (s *State) Domain(now time.Time, domain, incarnation string) Domain {
	d := Domain{}
	own := ownerHash(domain, s.self)
	for _, host := range s.Routers(now) {
		if host != s.self && s.domains[host] != domain {
			continue
		}
		d.Routers++
		if ownerHash(domain, host) < own {
			d.Turn++
		}
	}
	for host, room := range s.rooms {
		if room.row.FailureDomain != domain || s.roomExpired(room) {
			continue
		}
		d.OutOfRotation++
		d.SelfTold = d.SelfTold || host == s.self && room.row.Incarnation == incarnation
	}
	return d
}

// LeftRoom returns the row that an earlier process of this router has left.
func (s *State) LeftRoom(incarnation string) (row RoomRow, ok bool) {
	room, ok := s.rooms[s.self]
	return room.row, ok && room.row.Incarnation != incarnation
}

// ExpiredRooms returns the hosts of routers that were out of rotation and are gone.
func (s *State) ExpiredRooms() (hosts []string) {
	for host, room := range s.rooms {
		if host != s.self && s.roomExpired(room) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
