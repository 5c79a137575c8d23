// Package member holds the rows with which routers and sidecars register.
package member

// States of a holder row.
const (
	HolderLive   = "live"
	HolderFenced = "fenced" // its work is refused; its grants await recovery
	HolderClosed = "closed" // it holds no grant
)

// HolderRow registers a router incarnation under holder/<incarnation>. The
// router rewrites it to renew its lease.
type HolderRow struct {
	State       string `json:"state"` // live, fenced or closed
	Incarnation string `json:"incarnation"`
	Host        string `json:"host"`
	Domain      string `json:"domain"`   // failure domain
	RPCAddr     string `json:"rpc_addr"` // IP address and port
	HTTPAddr    string `json:"http_addr"`
	Renewed     int64  `json:"renewed"` // unix time in microseconds, for display only
}

// SidecarRow registers a sidecar under sidecar/<target>.
type SidecarRow struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"` // IP address and port
	Host        string `json:"host"`
	Domain      string `json:"domain"` // failure domain
	Kind        string `json:"kind"`
	Model       string `json:"model,omitempty"`
	Service     string `json:"service,omitempty"`
	Fence       int64  `json:"fence"` // fencing number of the last order
}
