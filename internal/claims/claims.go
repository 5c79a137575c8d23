// Package claims stores at-most-once claims in the platform's table.
package claims

import (
	"context"
	"encoding/json"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/claim"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// maxAttempts bounds the rounds of one call.
const maxAttempts = 8

// StoredClaim is a claim as it was read or written.
type StoredClaim struct {
	claim.Claim
	Action  claim.Action
	Version int64 // of the row
}

// Store reads and writes claims.
type Store struct {
	table platform.Table
	clock func() time.Time
}

// NewStore returns a Store over the table.
func NewStore(table platform.Table, clock func() time.Time) *Store {
	return &Store{table: table, clock: clock}
}

func rowKey(team, key string) string { return "claim/" + team + "/" + key }

// Begin claims a request for the attempt or returns the claim that exists.
// The request may run only if Action is claim.Run. PlatformUnavailable means
// that the attempt must never run: either nothing was inserted, or the insert
// could not be read back. In the second case a later request finds the claim
// and has the sidecar reject the attempt before it takes over.
func (s *Store) Begin(ctx context.Context, team, key, contentHash string, a claim.Attempt) (StoredClaim, error) {
	c := claim.New(team, key, contentHash, a, s.nowUS())
	uncertain := false
	for n := range maxAttempts {
		held, err := s.insert(ctx, c, uncertain)
		if err == nil {
			held.Action, err = held.Decide(contentHash, a.ID)
			return held, err
		}
		if errkind.Is(err, errkind.PlatformUncertain) {
			uncertain = true
		}
		if !uncertain || !platform.WaitBackoff(ctx, n) {
			return StoredClaim{}, notRun(err)
		}
	}
	return StoredClaim{}, errkind.New(errkind.PlatformUnavailable, "claim could not be stored")
}

func notRun(err error) error {
	return errkind.Wrap(err, errkind.PlatformUnavailable, "claim could not be stored")
}

// insert puts the claim unless one exists. After an uncertain insert it reads
// back first.
func (s *Store) insert(ctx context.Context, c claim.Claim, uncertain bool) (StoredClaim, error) {
	key := rowKey(c.Team, c.Key)
	if uncertain {
		held, err := s.Get(ctx, c.Team, c.Key)
		if !errkind.Is(err, errkind.NotFound) {
			return held, err
		}
	}
	res, err := s.commit(ctx, key, 0, c)
	if err != nil {
		return StoredClaim{}, err
	}
	if res.Committed {
		return StoredClaim{Claim: c, Version: res.Versions[key]}, nil
	}
	return s.Get(ctx, c.Team, c.Key)
}

// Get returns the stored claim, or NotFound.
func (s *Store) Get(ctx context.Context, team, key string) (StoredClaim, error) {
	row, err := s.table.Get(ctx, rowKey(team, key))
	if err != nil {
		return StoredClaim{}, err
	}
	held := StoredClaim{Version: row.Version}
	if err := json.Unmarshal(row.Value, &held.Claim); err != nil {
		return StoredClaim{}, errkind.Wrap(err, errkind.Internal, "claim %s is not readable", key)
	}
	return held, nil
}

// TakeOver replaces an attempt for which the sidecar that it names has left a
// tombstone. The next attempt may run only if Action is claim.Run; otherwise
// another router was faster and the claim it left is returned. As with Begin,
// after PlatformUnavailable the next attempt must never run.
func (s *Store) TakeOver(ctx context.Context, old StoredClaim, next claim.Attempt) (StoredClaim, error) {
	rejected := old.Attempt.ID
	held, err := s.change(ctx, old.Team, old.Key, func(c claim.Claim) (claim.Claim, bool, error) {
		if c.State != claim.Open || c.Attempt.ID != rejected {
			return c, false, nil
		}
		c, err := c.TakeOver(rejected, next)
		return c, true, err
	})
	if err != nil {
		return StoredClaim{}, notRun(err)
	}
	held.Action, err = held.Decide(old.ContentHash, next.ID)
	return held, err
}

// Finish stores the result of an attempt.
func (s *Store) Finish(ctx context.Context, team, key, attemptID string, r claim.Result) (StoredClaim, error) {
	return s.change(ctx, team, key, func(c claim.Claim) (claim.Claim, bool, error) {
		if c.State == claim.Done && c.Attempt.ID == attemptID {
			return c, false, nil
		}
		c, err := c.Finish(attemptID, r, s.nowUS())
		return c, true, err
	})
}

// MarkUnknown records that nobody knows whether the attempt ran.
func (s *Store) MarkUnknown(ctx context.Context, team, key, attemptID string) (StoredClaim, error) {
	return s.change(ctx, team, key, func(c claim.Claim) (claim.Claim, bool, error) {
		if c.State != claim.Open && c.Attempt.ID == attemptID {
			return c, false, nil
		}
		c, err := c.MarkUnknown(attemptID, s.nowUS())
		return c, true, err
	})
}

// step returns the next claim and whether it has to be written.
type step func(claim.Claim) (claim.Claim, bool, error)

// change applies a step until the stored claim includes it. Reading first in
// each round also resolves a write whose answer was lost.
func (s *Store) change(ctx context.Context, team, key string, apply step) (StoredClaim, error) {
	var last error
	for n := range maxAttempts {
		held, err := s.Get(ctx, team, key)
		if err == nil {
			next, write, stepErr := apply(held.Claim)
			if stepErr != nil || !write {
				return held, stepErr
			}
			var res platform.TxnResult
			res, err = s.commit(ctx, rowKey(team, key), held.Version, next)
			if res.Committed && err == nil {
				return StoredClaim{Claim: next, Version: res.Versions[rowKey(team, key)]}, nil
			}
		}
		if errkind.Is(err, errkind.NotFound) {
			return StoredClaim{}, err
		}
		last = err
		if !platform.WaitBackoff(ctx, n) {
			break
		}
	}
	return StoredClaim{}, errkind.Wrap(last, errkind.PlatformUnavailable, "claim %s could not be changed", key)
}

func (s *Store) commit(ctx context.Context, key string, version int64, c claim.Claim) (platform.TxnResult, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return platform.TxnResult{}, errkind.Wrap(err, errkind.Internal, "claim is not encodable")
	}
	return s.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	})
}

func (s *Store) nowUS() int64 { return s.clock().UnixMicro() }
