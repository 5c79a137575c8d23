// Package member defines the table rows with which routers and sidecars register.
package member

import "time"

// Key prefixes of the registration rows.
const (
	HolderPrefix  = "holder/"
	SidecarPrefix = "sidecar/"
)

// VersionKey is the key of a row that is written by every transaction that adds or
// ends a registration or changes its address. Routers poll the version of this row
// instead of scanning all registrations. The row is written without a condition,
// so that registrations do not conflict with each other. Only its version matters,
// not its value.
const VersionKey = "member/version"

// VersionValue is the value of the row with key VersionKey.
var VersionValue = []byte("{}")

// HolderState is the state of a router registration.
type HolderState string

// States of a HolderRow.
const (
	HolderLive   HolderState = "live"
	HolderFenced HolderState = "fenced" // sidecars refuse its runs; its grants await recovery
	HolderClosed HolderState = "closed" // it holds no grants any more
)

// HolderRow is the value of the row holder/<incarnation>, the registration of a
// router incarnation. A holder is a router incarnation that holds grants.
type HolderRow struct {
	State       HolderState `json:"state"`
	Incarnation string      `json:"incarnation"`
	Host        string      `json:"host"`
	Domain      string      `json:"domain"`    // failure domain
	RPCAddr     string      `json:"rpc_addr"`  // address for other routers
	HTTPAddr    string      `json:"http_addr"` // address for callers and operators
	RenewedUS   int64       `json:"renewed"`   // Unix time in microseconds; not used to decide whether the holder is live
	// ClosedUS is the Unix time in microseconds at which the row was closed, by
	// the clock of the router that closed it. It is 0 while the row is not closed.
	ClosedUS int64 `json:"closed,omitempty"`
}

// ClosedRetention is how long the row of a closed holder is kept. Idempotency
// keys, and with them repeats that name the holder, are kept for 24 h; one more
// hour allows for clock skew between two hosts.
const ClosedRetention = 25 * time.Hour

// Deletable reports whether the row of a closed holder without segment rows may be
// deleted, because no message that names the holder can arrive any more.
func (h HolderRow) Deletable(now time.Time) bool {
	return h.State == HolderClosed && h.ClosedUS > 0 && now.Sub(time.UnixMicro(h.ClosedUS)) > ClosedRetention
}

// SidecarRow is the value of the row sidecar/<target>, the registration of a
// target's sidecar.
type SidecarRow struct {
	Target        string `json:"target"`
	Incarnation   string `json:"incarnation"`
	Addr          string `json:"addr"` // RPC address for routers
	Host          string `json:"host"`
	Domain        string `json:"domain"` // failure domain
	Kind          string `json:"kind"`   // engine or service
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	FencingNumber int64  `json:"fence"` // of the last order to the target

	State SidecarState `json:"state"`
	// Ended are earlier incarnations that did not hand over their records. They
	// tell the recovery of a holder that some of the holder's runs may be unknown.
	Ended []EndedSidecar `json:"ended,omitempty"`
}

// SidecarState is the state of a sidecar registration.
type SidecarState string

// States of a SidecarRow.
const (
	SidecarLive   SidecarState = "live"
	SidecarClosed SidecarState = "closed" // stopped after it had handed over all records
	SidecarGone   SidecarState = "gone"   // declared permanently stopped by an operator
)

// EndedSidecar is a sidecar incarnation that ended without handing over its
// records.
type EndedSidecar struct {
	Incarnation string `json:"incarnation"`
	NoticedUS   int64  `json:"noticed_us"` // when the end was noticed, Unix time in microseconds
}

const (
	endedRetentionUS = 24 * 3600 * 1_000_000 // a live holder settles its runs long before this time is over
	maxEndedSidecars = 64                    // entries of Ended; the oldest are dropped
)

// EndIncarnation returns the row with its incarnation added to Ended if the
// incarnation is still registered as live. Old entries of Ended are removed.
func (r SidecarRow) EndIncarnation(nowUS int64) SidecarRow {
	var kept []EndedSidecar
	for _, e := range r.Ended {
		if nowUS-e.NoticedUS < endedRetentionUS {
			kept = append(kept, e)
		}
	}
	if r.State == SidecarLive && r.Incarnation != "" {
		kept = append(kept, EndedSidecar{Incarnation: r.Incarnation, NoticedUS: nowUS})
	}
	if len(kept) > maxEndedSidecars {
		kept = kept[len(kept)-maxEndedSidecars:]
	}
	r.Ended = kept
	return r
}

// maxClockSkewUS is the largest clock skew between two hosts that
// MayHaveUnsettledRuns allows for. With a larger skew, the recovery of a holder
// that failed at about the same time as a sidecar can miss the end of the sidecar.
const maxClockSkewUS = 60 * 1_000_000

// MayHaveUnsettledRuns reports whether a holder whose lease was last renewed at
// renewedUS may have had runs at an ended sidecar incarnation that it did not
// settle. A holder that renewed its lease more than maxClockSkewUS after the end
// has settled them.
func (r SidecarRow) MayHaveUnsettledRuns(renewedUS int64) bool {
	for _, e := range r.Ended {
		if renewedUS < e.NoticedUS+maxClockSkewUS {
			return true
		}
	}
	return false
}

// HolderKey returns the key of the registration row of a router incarnation.
func HolderKey(incarnation string) string { return HolderPrefix + incarnation }

// SidecarKey returns the key of the registration row of a target's sidecar.
func SidecarKey(target string) string { return SidecarPrefix + target }
