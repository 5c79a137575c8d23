package platform

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Defaults of RelayOptions.
const (
	// DefaultPeerTimeout covers a probe and a call of the peer, which each
	// take at most DefaultTimeout.
	DefaultPeerTimeout = 2*DefaultTimeout + 100*time.Millisecond
	// DefaultMaxPeers limits the calls that one call turns into while the
	// table is down for every router.
	DefaultMaxPeers = 3
)

// Peer is a connection to another router.
//
// Call must fail with errkind.PlatformUnavailable if the request was not sent.
// Any other error means that the peer may have acted on it.
type Peer interface {
	Call(ctx context.Context, method string, params, result any) error
}

// RelayOptions configures a Relay.
type RelayOptions struct {
	Direct      Table              // required
	Peers       func() []Peer      // connected peers in order of preference; required
	Header      func() wire.Header // of each message; empty headers if nil
	PeerTimeout time.Duration      // per peer; DefaultPeerTimeout if 0
	MaxPeers    int                // peers tried per call; DefaultMaxPeers if 0
}

// Relay is a Table that sends a call through a peer if the direct path fails.
//
// Reads are relayed after any failure of the direct path. A Commit is relayed
// only while it is known not to have taken effect: a second submission of an
// applied transaction would report a conflict with its own write. A rate limit
// of the platform is not relayed, because that adds calls to a store that is
// over its rate.
type Relay struct {
	options RelayOptions
}

var _ Table = (*Relay)(nil)

// NewRelay returns a relay with the defaults of the options filled in.
func NewRelay(o RelayOptions) *Relay {
	if o.Header == nil {
		o.Header = func() wire.Header { return wire.Header{} }
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = DefaultPeerTimeout
	}
	if o.MaxPeers <= 0 {
		o.MaxPeers = DefaultMaxPeers
	}
	return &Relay{options: o}
}

// Get implements Table.
func (r *Relay) Get(ctx context.Context, key string) (Row, error) {
	row, err := r.options.Direct.Get(ctx, key)
	if !isOutage(err) {
		return row, err
	}
	params := TableGetParams{Header: r.options.Header(), Key: key}
	return relayRead(ctx, r, wire.MethodTableGet, params, err,
		func(result *TableGetResult) (Row, *wire.Refusal) { return result.Row, result.Refusal })
}

// Scan implements Table.
func (r *Relay) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := r.options.Direct.Scan(ctx, prefix, after, limit)
	if !isOutage(err) {
		return rows, err
	}
	params := TableScanParams{Header: r.options.Header(), Prefix: prefix, After: after, Limit: limit}
	return relayRead(ctx, r, wire.MethodTableScan, params, err,
		func(result *TableScanResult) ([]Row, *wire.Refusal) { return result.Rows, result.Refusal })
}

// relayRead tries peers until one of them answers the read. R is the type of
// the peer's result, and open takes it apart.
func relayRead[R, V any](
	ctx context.Context, r *Relay, method string, params any, direct error, open func(*R) (V, *wire.Refusal),
) (V, error) {
	var none V
	for _, peer := range r.peers() {
		if ctx.Err() != nil {
			break
		}
		var result R
		if err := r.call(ctx, peer, method, params, &result); err != nil {
			continue
		}
		value, refusal := open(&result)
		if err := refusalError(refusal); err == nil || !isOutage(err) {
			return value, err
		}
	}
	return none, errkind.Wrap(direct, errkind.PlatformUnavailable, "no peer could relay %s", method)
}

// Commit implements Table.
func (r *Relay) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	result, err := r.options.Direct.Commit(ctx, txn)
	if !errkind.Is(err, errkind.PlatformUnavailable) || RateLimited(err) {
		return result, err
	}
	params := TableCommitParams{Header: r.options.Header(), Txn: txn}
	for _, peer := range r.peers() {
		if ctx.Err() != nil {
			break
		}
		var relayed TableCommitResult
		callErr := r.call(ctx, peer, wire.MethodTableCommit, params, &relayed)
		if callErr == nil {
			callErr = refusalError(relayed.Refusal)
		}
		if callErr == nil {
			return relayed.Result, nil
		}
		if !errkind.Is(callErr, errkind.PlatformUnavailable) {
			return TxnResult{}, errkind.Wrap(callErr, errkind.PlatformUncertain, "relayed commit")
		}
	}
	return TxnResult{}, errkind.Wrap(err, errkind.PlatformUnavailable, "no peer could relay %s", wire.MethodTableCommit)
}

func (r *Relay) peers() []Peer {
	peers := r.options.Peers()
	return peers[:min(len(peers), r.options.MaxPeers)]
}

func (r *Relay) call(ctx context.Context, peer Peer, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.PeerTimeout)
	defer cancel()
	return peer.Call(ctx, method, params, result)
}

func refusalError(refusal *wire.Refusal) error {
	if refusal == nil {
		return nil
	}
	return errkind.New(refusal.Kind, "%s", refusal.Detail)
}
