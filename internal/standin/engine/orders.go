package engine

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
)

// Roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleMixed   = "mixed"
)

func validRole(role string) bool {
	return role == RolePrefill || role == RoleDecode || role == RoleMixed
}

// Actions of orders.
const (
	ActionLoadModel     = "load_model"
	ActionLoadAdapter   = "load_adapter"
	ActionUnloadAdapter = "unload_adapter"
	ActionSetRole       = "set_role"
)

// Order is the body of POST /control/orders.
type Order struct {
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderState answers orders. An accepted load is in Loading until it is done.
type OrderState struct {
	Fence    int64    `json:"fence"` // highest number accepted
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Loading  []Order  `json:"loading"`
}

// pendingOrder takes effect at a time.
type pendingOrder struct {
	order Order
	due   time.Time
}

// orderDesk applies orders. They survive a crash of the engine.
type orderDesk struct {
	honourFence bool
	secret      string
	delay       time.Duration

	mu      sync.Mutex
	state   OrderState
	pending []pendingOrder
}

func newOrderDesk(c Config) *orderDesk {
	return &orderDesk{
		honourFence: c.HonourFence,
		secret:      c.OrderSecret,
		delay:       c.LoadDelay,
		state: OrderState{
			Model:    c.Model,
			Adapters: append([]string{}, c.Adapters...),
			Role:     c.Role,
		},
	}
}

// permitted compares the Authorization header with the shared secret.
func (d *orderDesk) permitted(authorization string) bool {
	if d.secret == "" {
		return true
	}
	want := "Bearer " + d.secret
	return subtle.ConstantTimeCompare([]byte(authorization), []byte(want)) == 1
}

// apply accepts an order or returns the answer that refuses it. A repeat of the
// highest fencing number is accepted.
func (d *orderDesk) apply(now time.Time, o Order) (OrderState, error) {
	if reason := faultOf(o); reason != "" {
		return OrderState{}, apiError(http.StatusBadRequest, "invalid_request_error", reason)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.honourFence && o.Fence < d.state.Fence {
		return OrderState{}, apiError(http.StatusConflict, "fenced", "the fencing number is old")
	}
	d.state.Fence = max(d.state.Fence, o.Fence)
	due := now
	if o.Action == ActionLoadModel || o.Action == ActionLoadAdapter {
		due = now.Add(d.delay)
	}
	d.pending = append(d.pending, pendingOrder{order: o, due: due})
	return d.settle(now), nil
}

func faultOf(o Order) string {
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

// settle applies the orders that are due and returns the state.
func (d *orderDesk) settle(now time.Time) OrderState {
	waiting := d.pending[:0]
	for _, p := range d.pending {
		if p.due.After(now) {
			waiting = append(waiting, p)
			continue
		}
		d.take(p.order)
	}
	d.pending = waiting
	state := d.state
	state.Adapters = append([]string{}, d.state.Adapters...)
	state.Loading = []Order{}
	for _, p := range d.pending {
		state.Loading = append(state.Loading, p.order)
	}
	return state
}

func (d *orderDesk) take(o Order) {
	switch o.Action {
	case ActionLoadModel:
		d.state.Model, d.state.Version = o.Model, o.Version
		d.state.Adapters = nil
	case ActionLoadAdapter:
		if !slices.Contains(d.state.Adapters, o.Adapter) {
			d.state.Adapters = append(d.state.Adapters, o.Adapter)
		}
	case ActionUnloadAdapter:
		d.state.Adapters = slices.DeleteFunc(d.state.Adapters, func(a string) bool { return a == o.Adapter })
	case ActionSetRole:
		d.state.Role = o.Role
	}
}

func (d *orderDesk) current(now time.Time) OrderState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settle(now)
}

// serves reports whether a model or adapter is loaded.
func (d *orderDesk) serves(now time.Time, model string) bool {
	state := d.current(now)
	return model == state.Model || slices.Contains(state.Adapters, model)
}

func (s *Server) order(c *echo.Context) error {
	if !s.orders.permitted(c.Request().Header.Get("Authorization")) {
		return apiError(http.StatusUnauthorized, "unauthorized", "the order secret is missing or wrong")
	}
	var o Order
	if err := readJSON(c, &o); err != nil {
		return err
	}
	state, err := s.orders.apply(time.Now(), o)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, state)
}

func (s *Server) orderState(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.orders.current(time.Now()))
}
