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

// adoptEvery is the interval in which a router without a configuration asks
// its peers for it.
const adoptEvery = 500 * time.Millisecond

// adoptFromPeers asks the peers for the configuration until it is known, so
// that a router can start while the table is down. The table is read at the
// same time; the higher version wins.
func (r *Router) adoptFromPeers(ctx context.Context) {
	ticker := time.NewTicker(adoptEvery)
	defer ticker.Stop()
	for !r.config.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, c := range r.peers.conns() {
			if r.config.Ready() || ctx.Err() != nil {
				return
			}
			r.adoptFrom(ctx, c)
		}
	}
}

func (r *Router) adoptFrom(ctx context.Context, c *rpc.Conn) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var res wire.ConfigResult
	if err := c.Call(ctx, wire.MethodConfigTeams, wire.ConfigQuery{Header: r.header()}, &res); err != nil {
		r.opts.Logger.Debug("configuration not received", "peer", c.Peer().Incarnation, "err", err)
		return
	}
	r.config.AdoptTeams(res.Teams)
	r.config.Adopt(res.Document)
	r.event("config_adopted", "", "", "", slog.Int64("version", res.Document.Version), slog.String("peer", c.Peer().Incarnation))
}

// configAndTeams answers a router that has no configuration. The teams are
// read before the document, so their version never exceeds the document's.
func (h peerHandler) configAndTeams(params json.RawMessage) (any, error) {
	var q wire.ConfigQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration query")
	}
	h.r.observe(q.Header)
	if !h.r.config.Ready() {
		return nil, errkind.New(errkind.PlatformUnavailable, "this router has no configuration either")
	}
	teams := h.r.config.TeamsSnapshot()
	return wire.ConfigResult{Header: h.r.header(), Document: *h.r.config.Current(), Teams: teams}, nil
}
