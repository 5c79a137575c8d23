package platform

import (
	"context"
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// TableGetParams holds the parameters of wire.MethodTableGet.
type TableGetParams struct {
	wire.Header
	Key string `json:"key"`
}

// TableGetResult is the result of wire.MethodTableGet.
type TableGetResult struct {
	wire.Header
	Row     Row           `json:"row"`
	Refusal *wire.Refusal `json:"refusal,omitempty"`
}

// TableScanParams holds the parameters of wire.MethodTableScan.
type TableScanParams struct {
	wire.Header
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// TableScanResult is the result of wire.MethodTableScan.
type TableScanResult struct {
	wire.Header
	Rows    []Row         `json:"rows"`
	Refusal *wire.Refusal `json:"refusal,omitempty"`
}

// TableCommitParams holds the parameters of wire.MethodTableCommit.
type TableCommitParams struct {
	wire.Header
	Txn Txn `json:"txn"`
}

// TableCommitResult is the result of wire.MethodTableCommit.
type TableCommitResult struct {
	wire.Header
	Result  TxnResult     `json:"result"`
	Refusal *wire.Refusal `json:"refusal,omitempty"`
}

// RelayServer serves calls that other routers relay to this one. It uses only
// the direct path.
type RelayServer struct {
	direct *DirectTable
	header func() wire.Header
}

// NewRelayServer returns a server that uses the direct path. header supplies
// the header of each result; nil means empty headers.
func NewRelayServer(direct *DirectTable, header func() wire.Header) *RelayServer {
	if header == nil {
		header = func() wire.Header { return wire.Header{} }
	}
	return &RelayServer{direct: direct, header: header}
}

// Handle serves one call and returns its result message. Table errors are
// returned as a refusal in the result. The error is errkind.InvalidRequest if
// the method is unknown or its parameters can't be decoded.
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
	err := s.checkDirect(ctx)
	if err == nil {
		result.Row, err = s.direct.Get(ctx, p.Key)
	}
	result.Refusal = newRefusal(err)
	return result
}

func (s *RelayServer) scan(ctx context.Context, p TableScanParams) any {
	result := TableScanResult{Header: s.header()}
	err := s.checkDirect(ctx)
	if err == nil {
		result.Rows, err = s.direct.Scan(ctx, p.Prefix, p.After, p.Limit)
	}
	result.Refusal = newRefusal(err)
	return result
}

func (s *RelayServer) commit(ctx context.Context, p TableCommitParams) any {
	result := TableCommitResult{Header: s.header()}
	err := s.checkDirect(ctx)
	if err == nil {
		result.Result, err = s.direct.Commit(ctx, p.Txn)
	}
	result.Refusal = newRefusal(err)
	return result
}

func (s *RelayServer) checkDirect(ctx context.Context) error {
	if s.direct.CheckHealth(ctx) {
		return nil
	}
	return errkind.New(errkind.PlatformUnavailable, "direct path of the peer is down")
}

func newRefusal(err error) *wire.Refusal {
	if err == nil {
		return nil
	}
	return &wire.Refusal{Kind: errkind.Of(err), Detail: errkind.From(err).Detail}
}
