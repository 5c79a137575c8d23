// Package member holds the rows and views of routers and targets.
package member

import "time"

// Key prefixes of the table rows.
const (
	HolderPrefix  = "holder/"
	SidecarPrefix = "sidecar/"
)

// VersionKey is the row that every transaction writes that adds, ends or moves
// a registration. Routers poll its version instead of scanning all
// registrations. It is written without a condition, so that registrations do
// not conflict with each other; only its version in the table has a meaning.
const VersionKey = "member/version"

// VersionValue is the content of the row VersionKey.
var VersionValue = []byte("{}")

// HolderState is the life cycle of a router registration.
type HolderState string

// States of a HolderRow.
const (
	HolderLive   HolderState = "live"
	HolderFenced HolderState = "fenced" // its work is refused; its grants await recovery
	HolderClosed HolderState = "closed" // it holds no grant
)

// HolderRow is the value of a row holder/<incarnation>.
type HolderRow struct {
	State       HolderState `json:"state"`
	Incarnation string      `json:"incarnation"`
	Host        string      `json:"host"`
	Domain      string      `json:"domain"`    // failure domain
	RPCAddr     string      `json:"rpc_addr"`  // for other routers
	HTTPAddr    string      `json:"http_addr"` // for callers and operators
	RenewedUS   int64       `json:"renewed"`   // unix time in microseconds, for display only
	// ClosedUS is the unix time in microseconds at which the row was closed, by
	// the clock of the router that closed it; 0 if it is not.
	ClosedUS int64 `json:"closed,omitempty"`
}

// ClosedRetention is how long the row of a closed holder is kept. Keys of
// requests, and with them repeats that name the holder, are kept for 24 h; one
// more hour covers the difference between the clocks of two hosts.
const ClosedRetention = 25 * time.Hour

// Deletable reports whether the row of a closed holder without segment rows
// may be deleted, because no message of the holder can still be under way.
func (h HolderRow) Deletable(now time.Time) bool {
	return h.State == HolderClosed && h.ClosedUS > 0 && now.Sub(time.UnixMicro(h.ClosedUS)) > ClosedRetention
}

// SidecarRow is the value of a row sidecar/<target>.
type SidecarRow struct {
	Target        string `json:"target"`
	Incarnation   string `json:"incarnation"`
	Addr          string `json:"addr"` // rpc address for routers
	Host          string `json:"host"`
	Domain        string `json:"domain"` // failure domain
	Kind          string `json:"kind"`   // engine or service
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	FencingNumber int64  `json:"fence"` // fencing number of the last order

	State SidecarState `json:"state"`
	// Ended are earlier incarnations that did not hand their records over.
	// They let a recovery see which of a holder's runs nobody can account for.
	Ended []EndedSidecar `json:"ended,omitempty"`
}

// SidecarState is the life cycle of a sidecar registration.
type SidecarState string

// States of a SidecarRow.
const (
	SidecarLive   SidecarState = "live"
	SidecarClosed SidecarState = "closed" // stopped after it had handed over all records
	SidecarGone   SidecarState = "gone"   // declared gone by an operator
)

// EndedSidecar is a sidecar incarnation that ended without handing over its
// records.
type EndedSidecar struct {
	Incarnation string `json:"incarnation"`
	NoticedUS   int64  `json:"noticed_us"` // unix time in microseconds
}

const (
	endedKeepUS = 24 * 3600 * 1_000_000 // a live holder has settled its runs long before
	maxEnded    = 64
)

// EndIncarnation returns the row with its incarnation among the ended ones, unless it had
// stopped cleanly.
func (r SidecarRow) EndIncarnation(nowUS int64) SidecarRow {
	var kept []EndedSidecar
	for _, e := range r.Ended {
		if nowUS-e.NoticedUS < endedKeepUS {
			kept = append(kept, e)
		}
	}
	if r.State == SidecarLive && r.Incarnation != "" {
		kept = append(kept, EndedSidecar{Incarnation: r.Incarnation, NoticedUS: nowUS})
	}
	if len(kept) > maxEnded {
		kept = kept[len(kept)-maxEnded:]
	}
	r.Ended = kept
	return r
}

// clockMarginUS is the bound on the difference between the clocks of two hosts
// that Unaccounted assumes. A larger difference can hide an ended sidecar from
// the recovery of a holder that failed within the margin of it.
const clockMarginUS = 60 * 1_000_000

// MayHaveUnsettledRuns reports whether a holder whose lease was last renewed at
// renewedUS may have had runs at an ended incarnation that it did not settle.
// A holder that lived on for the margin has settled them.
func (r SidecarRow) MayHaveUnsettledRuns(renewedUS int64) bool {
	for _, e := range r.Ended {
		if renewedUS < e.NoticedUS+clockMarginUS {
			return true
		}
	}
	return false
}

// HolderKey returns the key of a router's registration.
func HolderKey(incarnation string) string { return HolderPrefix + incarnation }

// SidecarKey returns the key of a target's registration.
func SidecarKey(target string) string { return SidecarPrefix + target }
