package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// configFetchInterval is the interval at which a router without a configuration
// asks its peers for it.
const configFetchInterval = 500 * time.Millisecond

// fetchConfigFromPeers asks the peers for the configuration until it is known,
// so that a router can start while the table is unavailable. The table is
// polled at the same time; the higher version wins.
func (r *Router) fetchConfigFromPeers(ctx context.Context) {
	ticker := time.NewTicker(configFetchInterval)
	defer ticker.Stop()
	for !r.config.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, c := range r.peers.dialedConns() {
			if r.config.Ready() || ctx.Err() != nil {
				return
			}
			r.fetchConfigFrom(ctx, c)
		}
	}
}

// fetchConfigFrom asks one peer for the configuration and adopts it.
func (r *Router) fetchConfigFrom(ctx context.Context, c *rpc.Conn) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	var res wire.ConfigResult
	if err := c.Call(ctx, wire.MethodConfigTeams, wire.ConfigQuery{Header: r.header()}, &res); err != nil {
		r.opts.Logger.Debug("cannot fetch configuration from peer", "peer", c.Peer().Incarnation, "err", err)
		return
	}
	r.config.AdoptTeams(res.Teams)
	r.config.Adopt(res.Document)
	r.recordEvent("config_adopted", "", "", "", slog.Int64("version", res.Document.Version), slog.String("peer", c.Peer().Incarnation))
}

// handleConfigQuery answers a router that has no configuration. The teams are
// read before the document, so that their version never exceeds that of the
// document.
func (h peerHandler) handleConfigQuery(params json.RawMessage) (any, error) {
	var q wire.ConfigQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration query")
	}
	h.r.observeHeader(q.Header)
	if !h.r.config.Ready() {
		return nil, errkind.New(errkind.PlatformUnavailable, "this router has no configuration either")
	}
	teams := h.r.config.TeamsSnapshot()
	return wire.ConfigResult{Header: h.r.header(), Document: *h.r.config.Current(), Teams: teams}, nil
}
