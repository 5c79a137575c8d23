package engine

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
)

// Engine roles.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleMixed   = "mixed"
)

func validRole(role string) bool {
	return role == RolePrefill || role == RoleDecode || role == RoleMixed
}

// Order actions.
const (
	ActionLoadModel     = "load_model"
	ActionLoadAdapter   = "load_adapter"
	ActionUnloadAdapter = "unload_adapter"
	ActionSetRole       = "set_role"
)

// Order is the body of POST /control/orders: a change of the loaded model, the
// adapters or the role.
type Order struct {
	Fence   int64  `json:"fence"` // fencing number of the sender
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderState is the response to GET and POST /control/orders. An accepted load is
// listed in Loading until it is complete.
type OrderState struct {
	Fence    int64    `json:"fence"` // highest fencing number accepted
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Loading  []Order  `json:"loading"`
}

// pendingOrder is an accepted order that takes effect when it is due.
type pendingOrder struct {
	order Order
	due   time.Time
}

// orderController validates and applies orders. Its state survives a crash of the
// engine.
type orderController struct {
	honourFence bool
	secret      string
	loadDelay   time.Duration

	mu      sync.Mutex
	state   OrderState
	pending []pendingOrder
}

func newOrderController(c Config) *orderController {
	return &orderController{
		honourFence: c.HonourFence,
		secret:      c.OrderSecret,
		loadDelay:   c.LoadDelay,
		state: OrderState{
			Model:    c.Model,
			Adapters: append([]string{}, c.Adapters...),
			Role:     c.Role,
		},
	}
}

// authorized reports whether the Authorization header carries the order secret, or
// no secret is configured.
func (c *orderController) authorized(authorization string) bool {
	if c.secret == "" {
		return true
	}
	want := "Bearer " + c.secret
	return subtle.ConstantTimeCompare([]byte(authorization), []byte(want)) == 1
}

// accept queues an order, or returns the error response that rejects it. An order
// that repeats the highest fencing number is accepted.
func (c *orderController) accept(now time.Time, o Order) (OrderState, error) {
	if reason := invalidOrderReason(o); reason != "" {
		return OrderState{}, newStatusError(http.StatusBadRequest, "invalid_request_error", reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.honourFence && o.Fence < c.state.Fence {
		return OrderState{}, newStatusError(http.StatusConflict, "fenced", "the fencing number is old")
	}
	c.state.Fence = max(c.state.Fence, o.Fence)
	due := now
	if o.Action == ActionLoadModel || o.Action == ActionLoadAdapter {
		due = now.Add(c.loadDelay)
	}
	c.pending = append(c.pending, pendingOrder{order: o, due: due})
	return c.applyDue(now), nil
}

// invalidOrderReason says why the order is invalid. It is empty for a valid order.
func invalidOrderReason(o Order) string {
	switch o.Action {
	case ActionLoadModel:
		if o.Model == "" {
			return "model is missing"
		}
	case ActionLoadAdapter, ActionUnloadAdapter:
		if o.Adapter == "" {
			return "adapter is missing"
		}
	case ActionSetRole:
		if !validRole(o.Role) {
			return "role is not prefill, decode or mixed"
		}
	default:
		return "unknown action"
	}
	return ""
}

// applyDue applies the orders that are due and returns the resulting state.
func (c *orderController) applyDue(now time.Time) OrderState {
	stillPending := c.pending[:0]
	for _, p := range c.pending {
		if p.due.After(now) {
			stillPending = append(stillPending, p)
			continue
		}
		c.applyOrder(p.order)
	}
	c.pending = stillPending
	state := c.state
	state.Adapters = append([]string{}, c.state.Adapters...)
	state.Loading = []Order{}
	for _, p := range c.pending {
		state.Loading = append(state.Loading, p.order)
	}
	return state
}

func (c *orderController) applyOrder(o Order) {
	switch o.Action {
	case ActionLoadModel:
		c.state.Model, c.state.Version = o.Model, o.Version
		c.state.Adapters = nil
	case ActionLoadAdapter:
		if !slices.Contains(c.state.Adapters, o.Adapter) {
			c.state.Adapters = append(c.state.Adapters, o.Adapter)
		}
	case ActionUnloadAdapter:
		c.state.Adapters = slices.DeleteFunc(c.state.Adapters, func(a string) bool { return a == o.Adapter })
	case ActionSetRole:
		c.state.Role = o.Role
	}
}

func (c *orderController) current(now time.Time) OrderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyDue(now)
}

// isLoaded reports whether the model or adapter of this name is loaded.
func (c *orderController) isLoaded(now time.Time, model string) bool {
	state := c.current(now)
	return model == state.Model || slices.Contains(state.Adapters, model)
}

func (s *Server) order(c *echo.Context) error {
	if !s.orders.authorized(c.Request().Header.Get("Authorization")) {
		return newStatusError(http.StatusUnauthorized, "unauthorized", "the order secret is missing or wrong")
	}
	var o Order
	if err := readJSON(c, &o); err != nil {
		return err
	}
	state, err := s.orders.accept(time.Now(), o)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, state)
}

func (s *Server) orderState(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.orders.current(time.Now()))
}
