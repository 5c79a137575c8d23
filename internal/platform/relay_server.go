package platform

import (
	"context"
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// TableGetParams are the parameters of wire.MethodTableGet.
type TableGetParams struct {
	wire.Header
	Key string `json:"key"`
}

// TableGetResult answers TableGet.
type TableGetResult struct {
	wire.Header
	Row     Row           `json:"row"`
	Refusal *wire.Refusal `json:"refusal,omitempty"`
}

// TableScanParams are the parameters of wire.MethodTableScan.
type TableScanParams struct {
	wire.Header
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// TableScanResult answers TableScan.
type TableScanResult struct {
	wire.Header
	Rows    []Row         `json:"rows"`
	Refusal *wire.Refusal `json:"refusal,omitempty"`
}

// TableCommitParams are the parameters of wire.MethodTableCommit.
type TableCommitParams struct {
	wire.Header
	Txn Txn `json:"txn"`
}

// TableCommitResult answers TableCommit.
type TableCommitResult struct {
	wire.Header
	Result  TxnResult     `json:"result"`
	Refusal *wire.Refusal `json:"refusal,omitempty"`
}

// RelayServer serves the relayed calls of other routers over this router's
// direct path only.
type RelayServer struct {
	health *DirectTable
	header func() wire.Header
}

// NewRelayServer returns a server over the direct path. header supplies the
// header of each result; nil means empty headers.
func NewRelayServer(health *DirectTable, header func() wire.Header) *RelayServer {
	if header == nil {
		header = func() wire.Header { return wire.Header{} }
	}
	return &RelayServer{health: health, header: header}
}

// Handle serves one call and returns its result message. Failures of the table
// are refusals in the result; the error is errkind.InvalidRequest for
// parameters that cannot be decoded or an unknown method.
func (s *RelayServer) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodTableGet:
		return decodeAndServe(ctx, params, s.get)
	case wire.MethodTableScan:
		return decodeAndServe(ctx, params, s.scan)
	case wire.MethodTableCommit:
		return decodeAndServe(ctx, params, s.commit)
	}
	return nil, errkind.New(errkind.InvalidRequest, "method %s is not a table call", method)
}

func decodeAndServe[P any](ctx context.Context, raw json.RawMessage, serve func(context.Context, P) any) (any, error) {
	var params P
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "table call")
	}
	return serve(ctx, params), nil
}

func (s *RelayServer) get(ctx context.Context, p TableGetParams) any {
	result := TableGetResult{Header: s.header()}
	err := s.check(ctx)
	if err == nil {
		result.Row, err = s.health.Get(ctx, p.Key)
	}
	result.Refusal = refusalOf(err)
	return result
}

func (s *RelayServer) scan(ctx context.Context, p TableScanParams) any {
	result := TableScanResult{Header: s.header()}
	err := s.check(ctx)
	if err == nil {
		result.Rows, err = s.health.Scan(ctx, p.Prefix, p.After, p.Limit)
	}
	result.Refusal = refusalOf(err)
	return result
}

func (s *RelayServer) commit(ctx context.Context, p TableCommitParams) any {
	result := TableCommitResult{Header: s.header()}
	err := s.check(ctx)
	if err == nil {
		result.Result, err = s.health.Commit(ctx, p.Txn)
	}
	result.Refusal = refusalOf(err)
	return result
}

func (s *RelayServer) check(ctx context.Context) error {
	if s.health.CheckHealth(ctx) {
		return nil
	}
	return errkind.New(errkind.PlatformUnavailable, "direct path of the peer is down")
}

func refusalOf(err error) *wire.Refusal {
	if err == nil {
		return nil
	}
	return &wire.Refusal{Kind: errkind.Of(err), Detail: errkind.From(err).Detail}
}
