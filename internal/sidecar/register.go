package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// Registration is retried with exponentially growing, jittered delays, so that
// many sidecars do not call a recovering table at the same moment.
const (
	minRegisterDelay = 100 * time.Millisecond
	maxRegisterDelay = 5 * time.Second
	registryTimeout  = 5 * time.Second // of one attempt to read or write the registration
	// defaultVerifyInterval limits how long a sidecar that was paused, and
	// replaced in the meantime, goes on accepting work. With this interval
	// 2,800 sidecars read 93 rows/s in total.
	defaultVerifyInterval = 30 * time.Second
)

// register writes the sidecar's row and then reads the fenced holders: router
// incarnations that count as ended and whose runs are refused. The order matters:
// a router that fences a holder after the read finds the row and sends the fence
// to this sidecar. Both steps are repeated until they succeed or ctx is done.
func (s *Server) register(ctx context.Context, addr string) error {
	delay := minRegisterDelay
	for {
		err := s.registerOnce(ctx, addr)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.log.Warn("registration failed; retrying", "err", err)
		if !timing.Sleep(ctx, rand.N(delay)+delay/2) {
			return ctx.Err()
		}
		delay = min(2*delay, maxRegisterDelay)
	}
}

func (s *Server) registerOnce(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if err := s.writeRegistration(ctx, addr); err != nil {
		return err
	}
	return s.loadFencedHolders(ctx)
}

func (s *Server) writeRegistration(ctx context.Context, addr string) error {
	key := member.SidecarKey(s.opts.Target)
	row, previous, err := s.readRegistration(ctx, key)
	if err != nil {
		return err
	}
	if previous.Incarnation == s.incarnation {
		s.raiseOrderFence(previous.FencingNumber)
		return nil // an earlier attempt was applied
	}
	reg := member.SidecarRow{
		Target:        s.opts.Target,
		Incarnation:   s.incarnation,
		Addr:          addr,
		Host:          s.opts.Host,
		Domain:        s.opts.Domain,
		Kind:          string(s.opts.Kind),
		Model:         s.opts.Model,
		Service:       s.opts.Service,
		FencingNumber: previous.FencingNumber,
		State:         member.SidecarLive,
		Ended:         previous.EndIncarnation(time.Now().UnixMicro()).Ended,
	}
	// After a commit with an uncertain result, the next attempt reads the row
	// back.
	if err := s.commitRegistration(ctx, row.Version, reg); err != nil {
		return err
	}
	s.raiseOrderFence(previous.FencingNumber)
	return nil
}

func (s *Server) commitRegistration(ctx context.Context, version platform.Version, reg member.SidecarRow) error {
	key := member.SidecarKey(s.opts.Target)
	value, err := json.Marshal(reg)
	if err != nil {
		return err
	}
	result, err := s.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: value}, {Key: member.VersionKey, Value: member.VersionValue}},
	})
	if err != nil {
		return err
	}
	if !result.Committed {
		return errkind.New(errkind.VersionConflict, "row %s was changed by another writer", key)
	}
	return nil
}

// closeRegistration marks the registration as closed, which means that all
// records have been handed over. If the table can't be reached, the row stays
// live and the successor lists this incarnation as ended.
func (s *Server) closeRegistration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	row, reg, err := s.readRegistration(ctx, member.SidecarKey(s.opts.Target))
	if err != nil || reg.Incarnation != s.incarnation {
		return err
	}
	reg.State = member.SidecarClosed
	return s.commitRegistration(ctx, row.Version, reg)
}

// readRegistration returns the registration's row and its decoded value. If there is
// no row, it returns zero values and no error.
func (s *Server) readRegistration(ctx context.Context, key string) (platform.Row, member.SidecarRow, error) {
	var reg member.SidecarRow
	row, err := s.opts.Table.Get(ctx, key)
	if errkind.Is(err, errkind.NotFound) {
		return platform.Row{}, reg, nil
	}
	if err != nil {
		return row, reg, err
	}
	if err := json.Unmarshal(row.Value, &reg); err != nil {
		return row, reg, errkind.Wrap(err, errkind.Internal, "row %s", key)
	}
	return row, reg, nil
}

// raiseOrderFence raises the highest fencing number of an order to fence, if fence
// is higher.
func (s *Server) raiseOrderFence(fence int64) {
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	s.highestOrderFence = max(s.highestOrderFence, fence)
}

func (s *Server) loadFencedHolders(ctx context.Context) error {
	rows, err := platform.ScanAll(ctx, s.opts.Table, member.HolderPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var holder member.HolderRow
		if err := json.Unmarshal(row.Value, &holder); err != nil {
			return errkind.Wrap(err, errkind.Internal, "row %s", row.Key)
		}
		if holder.State != member.HolderLive {
			s.mu.Lock()
			s.runTable.Fence(holder.Incarnation)
			s.mu.Unlock()
		}
	}
	return nil
}

// errReplaced is the error of a sidecar that another one has replaced. Routers send
// the fence of a holder only to the registered incarnation, so a replaced sidecar
// must stop accepting work.
var errReplaced = errkind.New(errkind.Conflict, "another sidecar has registered for the target")

// verifyRegistration reads the registration back periodically. If it names
// another incarnation or is marked as gone, the sidecar drains and
// errReplaced is returned. Failed reads and an absent row are ignored. The result
// is nil if ctx ends first.
func (s *Server) verifyRegistration(ctx context.Context) error {
	for timing.Sleep(ctx, s.opts.VerifyInterval) {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		row, reg, err := s.readRegistration(callCtx, member.SidecarKey(s.opts.Target))
		cancel()
		if err != nil || row.Version.IsZero() {
			continue
		}
		if reg.Incarnation != s.incarnation || reg.State == member.SidecarGone {
			s.log.Error("replaced", "by", reg.Incarnation, "state", reg.State)
			s.drain()
			return errReplaced
		}
	}
	return nil
}
