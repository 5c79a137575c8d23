package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// GetRequest is the body of POST /v1/table/get.
type GetRequest struct {
	Key string `json:"key"`
}

// GetResponse is the response to GetRequest. A missing row is returned as null
// and not as a 404, so that a wrong address is not taken for an empty table.
type GetResponse struct {
	Row *Row `json:"row"`
}

// ScanRequest is the body of POST /v1/table/scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResponse is the response to ScanRequest.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var out GetResponse
	err := c.postJSON(ctx, call{name: "table get", path: "/v1/table/get"}, GetRequest{Key: key}, &out)
	if err != nil {
		return Row{}, err
	}
	if out.Row == nil {
		return Row{}, errkind.New(errkind.NotFound, "row %s", key)
	}
	return *out.Row, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var out ScanResponse
	in := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.postJSON(ctx, call{name: "table scan", path: "/v1/table/scan"}, in, &out)
	return out.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var out TxnResult
	err := c.postJSON(ctx, call{name: "table commit", path: "/v1/table/commit", isWrite: true}, txn, &out)
	if err != nil {
		return TxnResult{}, err
	}
	return out, nil
}

// PutObject stores an object under a key. It replaces an existing object, so it
// can be repeated safely after errkind.PlatformUncertain.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.do(ctx, call{
		name:        "object put",
		method:      http.MethodPut,
		path:        "/v1/objects/" + url.PathEscape(key),
		contentType: "application/octet-stream",
		body:        data,
		isWrite:     true,
	})
	return err
}

// GetObject returns an object, or errkind.NotFound.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	body, err := c.do(ctx, call{name: "object get", method: http.MethodGet, path: "/v1/objects/" + url.PathEscape(key)})
	return body, notFoundError(err, "object "+key)
}

// HostState tells whether a host is about to leave the deployment.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the host list, which lags behind the actual state.
type Host struct {
	Host   string    `json:"host"`
	Domain string    `json:"domain"` // failure domain
	State  HostState `json:"state"`
}

// Hosts returns the host list, ordered by name.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var out []Host
	err := c.getJSON(ctx, "host list", "/v1/hosts", &out)
	return out, err
}

// Weights describes the stored weights of a model.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Weights looks up the weights of a model. It fails with errkind.NotFound for
// an unknown model. If the store's rate limit is exceeded, RateLimited reports
// true for the error and its RetryAfter is set.
func (c *Client) Weights(ctx context.Context, model string) (Weights, error) {
	var out Weights
	err := c.getJSON(ctx, "weights", "/v1/weights/"+url.PathEscape(model), &out)
	return out, notFoundError(err, "weights of "+model)
}

func (c *Client) getJSON(ctx context.Context, name, path string, result any) error {
	body, err := c.do(ctx, call{name: name, method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errkind.Wrap(err, errkind.PlatformUnavailable, "%s", name)
	}
	return nil
}

// notFoundError replaces a 404 response by errkind.NotFound and returns any
// other error unchanged.
func notFoundError(err error, resource string) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return errkind.New(errkind.NotFound, "%s", resource)
	}
	return err
}
