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

// maxTries is how often one method call tries to read and write a claim.
const maxTries = 8

// StoredClaim is a claim as it is stored, with the action that follows from it.
type StoredClaim struct {
	claim.Claim
	Action  claim.Action     // set by Begin and TakeOver
	Version platform.Version // version of the row
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

// claimKey returns the key of the row of a claim. key is the idempotency key.
func claimKey(team, key string) string { return "claim/" + team + "/" + key }

// Begin stores a claim that names the attempt, or returns the claim that already
// exists. The request may run only if Action is claim.Run. PlatformUnavailable
// means that the attempt must never run: either nothing was inserted, or the
// insert could not be read back. In the second case the claim may exist; a later
// request that finds it has the sidecar reject this attempt, and only then takes
// the claim over.
func (s *Store) Begin(ctx context.Context, team, key, contentHash string, attempt claim.Attempt) (StoredClaim, error) {
	candidate := claim.New(team, key, contentHash, attempt, s.nowUS())
	uncertain := false
	for n := range maxTries {
		stored, err := s.insert(ctx, candidate, uncertain)
		if err == nil {
			stored.Action, err = stored.Decide(contentHash, attempt.ID)
			return stored, err
		}
		if errkind.Is(err, errkind.PlatformUncertain) {
			uncertain = true
		}
		if !uncertain || !platform.WaitBackoff(ctx, n) {
			return StoredClaim{}, unavailableError(err)
		}
	}
	return StoredClaim{}, errkind.New(errkind.PlatformUnavailable, "claim could not be stored")
}

// unavailableError returns the error of an attempt that must not run because
// its claim could not be stored.
func unavailableError(err error) error {
	return errkind.Wrap(err, errkind.PlatformUnavailable, "claim could not be stored")
}

// insert stores the claim unless one exists, and returns the stored one. uncertain
// says that an earlier insert of this claim may have taken effect; insert then
// reads the claim before it tries to write it.
func (s *Store) insert(ctx context.Context, c claim.Claim, uncertain bool) (StoredClaim, error) {
	rowKey := claimKey(c.Team, c.Key)
	if uncertain {
		stored, err := s.Get(ctx, c.Team, c.Key)
		if !errkind.Is(err, errkind.NotFound) {
			return stored, err
		}
	}
	res, err := s.commit(ctx, rowKey, platform.Version{}, c)
	if err != nil {
		return StoredClaim{}, err
	}
	if res.Committed {
		return StoredClaim{Claim: c, Version: res.Versions[rowKey]}, nil
	}
	return s.Get(ctx, c.Team, c.Key)
}

// Get returns the stored claim, or NotFound if there is none. It does not set
// Action.
func (s *Store) Get(ctx context.Context, team, key string) (StoredClaim, error) {
	row, err := s.table.Get(ctx, claimKey(team, key))
	if err != nil {
		return StoredClaim{}, err
	}
	stored := StoredClaim{Version: row.Version}
	if err := json.Unmarshal(row.Value, &stored.Claim); err != nil {
		return StoredClaim{}, errkind.Wrap(err, errkind.Internal, "claim %s is not readable", key)
	}
	return stored, nil
}

// TakeOver replaces the attempt of a claim by the next one. The sidecar that
// the old attempt names must have marked the old attempt (with a tombstone) as one
// that must never start. The next attempt may run only if Action is claim.Run;
// otherwise another router was faster, and the claim that it stored is returned.
// As with Begin, after PlatformUnavailable the next attempt must never run.
func (s *Store) TakeOver(ctx context.Context, old StoredClaim, next claim.Attempt) (StoredClaim, error) {
	rejectedID := old.Attempt.ID
	stored, err := s.update(ctx, old.Team, old.Key, func(c claim.Claim) (claim.Claim, bool, error) {
		if c.State != claim.Open || c.Attempt.ID != rejectedID {
			return c, false, nil
		}
		c, err := c.TakeOver(rejectedID, next)
		return c, true, err
	})
	if err != nil {
		return StoredClaim{}, unavailableError(err)
	}
	stored.Action, err = stored.Decide(old.ContentHash, next.ID)
	return stored, err
}

// Finish stores the result of an attempt. It returns Conflict if the claim names
// another attempt.
func (s *Store) Finish(ctx context.Context, team, key, attemptID string, r claim.Result) (StoredClaim, error) {
	return s.update(ctx, team, key, func(c claim.Claim) (claim.Claim, bool, error) {
		if c.State == claim.Done && c.Attempt.ID == attemptID {
			return c, false, nil
		}
		c, err := c.Finish(attemptID, r, s.nowUS())
		return c, true, err
	})
}

// MarkUnknown records that it cannot be determined whether the attempt ran.
func (s *Store) MarkUnknown(ctx context.Context, team, key, attemptID string) (StoredClaim, error) {
	return s.update(ctx, team, key, func(c claim.Claim) (claim.Claim, bool, error) {
		if c.State != claim.Open && c.Attempt.ID == attemptID {
			return c, false, nil
		}
		c, err := c.MarkUnknown(attemptID, s.nowUS())
		return c, true, err
	})
}

// transition returns the claim after a change and whether it has to be written.
type transition func(claim.Claim) (claim.Claim, bool, error)

// update applies a transition and retries until the stored claim includes it, up
// to maxTries times. Each try reads the claim first, which also tells whether an
// earlier write whose answer was lost has been applied.
func (s *Store) update(ctx context.Context, team, key string, apply transition) (StoredClaim, error) {
	var lastErr error
	for n := range maxTries {
		stored, err := s.Get(ctx, team, key)
		if err == nil {
			next, write, applyErr := apply(stored.Claim)
			if applyErr != nil || !write {
				return stored, applyErr
			}
			var res platform.TxnResult
			res, err = s.commit(ctx, claimKey(team, key), stored.Version, next)
			if res.Committed && err == nil {
				return StoredClaim{Claim: next, Version: res.Versions[claimKey(team, key)]}, nil
			}
		}
		if errkind.Is(err, errkind.NotFound) {
			return StoredClaim{}, err
		}
		lastErr = err
		if !platform.WaitBackoff(ctx, n) {
			break
		}
	}
	return StoredClaim{}, errkind.Wrap(lastErr, errkind.PlatformUnavailable, "claim %s could not be changed", key)
}

// commit writes a claim if its row still has the given version, which is zero if
// there must be no row.
func (s *Store) commit(ctx context.Context, rowKey string, version platform.Version, c claim.Claim) (platform.TxnResult, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return platform.TxnResult{}, errkind.Wrap(err, errkind.Internal, "claim cannot be encoded")
	}
	return s.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: rowKey, Version: version}},
		Puts:       []platform.Put{{Key: rowKey, Value: value}},
	})
}

func (s *Store) nowUS() int64 { return s.clock().UnixMicro() }
