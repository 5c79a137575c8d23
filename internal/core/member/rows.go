// Package member holds the rows and views of routers and targets.
package member

// Key prefixes of the table rows.
const (
	HolderPrefix  = "holder/"
	SidecarPrefix = "sidecar/"
)

// State is the life cycle of a router registration.
type State string

// States of a HolderRow.
const (
	HolderLive   State = "live"
	HolderFenced State = "fenced" // its work is refused; its grants await recovery
	HolderClosed State = "closed" // it holds no grant
)

// HolderRow is the value of a row holder/<incarnation>.
type HolderRow struct {
	State       State  `json:"state"`
	Incarnation string `json:"incarnation"`
	Host        string `json:"host"`
	Domain      string `json:"domain"`    // failure domain
	RPCAddr     string `json:"rpc_addr"`  // for other routers
	HTTPAddr    string `json:"http_addr"` // for callers and operators
	Renewed     int64  `json:"renewed"`   // unix time in microseconds, for display only
}

// SidecarRow is the value of a row sidecar/<target>.
type SidecarRow struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"` // rpc address for routers
	Host        string `json:"host"`
	Domain      string `json:"domain"` // failure domain
	Kind        string `json:"kind"`   // engine or service
	Model       string `json:"model,omitempty"`
	Service     string `json:"service,omitempty"`
	Fence       int64  `json:"fence"` // fencing number of the last order
}

// HolderKey returns the key of a router's registration.
func HolderKey(incarnation string) string { return HolderPrefix + incarnation }

// SidecarKey returns the key of a target's registration.
func SidecarKey(target string) string { return SidecarPrefix + target }
