package configstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/timing"
)

// AnyVersion as ifMatch applies the mutation to whatever version is current.
// It is meant for mutations that only add or remove one item.
const AnyVersion int64 = -1

const (
	maxRebases   = 10 // of an AnyVersion change that keeps losing the race
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Change is a configuration in the making. Document may be modified freely.
type Change struct {
	Document policy.Document

	base  policy.Document
	ctx   context.Context
	store *Store
	teams map[string]policy.Team
}

// Team returns a team as the change has it, or errkind.NotFound.
func (c *Change) Team(name string) (policy.Team, error) {
	if t, ok := c.teams[name]; ok {
		return t.Clone(), nil
	}
	row, err := c.store.readTeam(c.ctx, name)
	return row.Team, err
}

// SetTeam creates or replaces a team.
func (c *Change) SetTeam(t policy.Team) { c.teams[t.Name] = t.Clone() }

// Change applies mutate to version ifMatch and commits the result as the next
// version, which it returns. Errors:
//
//   - errkind.VersionConflict: ifMatch is not current, or another change won;
//   - errkind.InvalidRequest: the result has faults, which the detail lists;
//   - errkind.PlatformUnavailable: nothing has been changed;
//   - errkind.OutcomeUnknown: ctx ended before the outcome was known;
//   - the error of mutate.
//
// mutate may run several times.
func (s *Store) Change(ctx context.Context, ifMatch int64, operator string, mutate func(*Change) error) (int64, error) {
	for attempt := 1; ; attempt++ {
		version, err := s.tryChange(ctx, ifMatch, operator, mutate)
		rebase := ifMatch == AnyVersion && errkind.Is(err, errkind.VersionConflict) && attempt < maxRebases
		if !rebase {
			return version, err
		}
	}
}

func (s *Store) tryChange(ctx context.Context, ifMatch int64, operator string, mutate func(*Change) error) (int64, error) {
	head, change, err := s.prepare(ctx, ifMatch)
	if err != nil {
		return 0, err
	}
	if err := mutate(change); err != nil {
		return 0, err
	}
	change.Document.Version = head.Version + 1
	if faults := change.faults(); len(faults) > 0 {
		return 0, errkind.New(errkind.InvalidRequest, "%s", policy.FormatFaults(faults))
	}
	row := changeRow{
		ID: newChangeID(), Version: change.Document.Version, Operator: operator,
		AtUS: s.clock().UnixMicro(), Keys: change.keys(),
	}
	teams := change.sortedTeams()
	versions, err := s.commit(ctx, changeTxn(head, change.Document, row, teams), row)
	if err != nil {
		return 0, err
	}
	s.applyOwn(ctx, change.Document, teams, versions)
	s.log.Info("config_changed", "version", row.Version, "operator", operator, "keys", len(row.Keys))
	return row.Version, nil
}

// prepare reads the current version from the table. The document may be newer
// than the head if a change falls between the two reads; the commit then fails
// on the head's row version.
func (s *Store) prepare(ctx context.Context, ifMatch int64) (headRow, *Change, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		if errkind.Is(err, errkind.NotFound) {
			return head, nil, errkind.New(errkind.PlatformUnavailable, "no configuration yet")
		}
		return head, nil, err
	}
	if ifMatch != AnyVersion && ifMatch != head.Version {
		return head, nil, errkind.New(errkind.VersionConflict, "version is %d, not %d", head.Version, ifMatch)
	}
	doc, err := s.readDoc(ctx)
	if err != nil {
		return head, nil, err
	}
	return head, &Change{Document: doc, base: doc.Clone(), ctx: ctx, store: s, teams: map[string]policy.Team{}}, nil
}

func (c *Change) sortedTeams() []policy.Team {
	out := make([]policy.Team, 0, len(c.teams))
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		out = append(out, c.teams[name])
	}
	return out
}

func (c *Change) keys() []string {
	keys := []string{keyDoc}
	for _, t := range c.sortedTeams() {
		keys = append(keys, prefixTeam+t.Name)
	}
	return keys
}

func (c *Change) faults() []policy.Fault {
	faults := c.Document.Validate()
	for _, t := range c.sortedTeams() {
		faults = append(faults, t.Validate(&c.Document)...)
	}
	if !removesNames(&c.base, &c.Document) {
		return faults
	}
	for _, t := range c.store.Teams() {
		if _, changed := c.teams[t.Name]; !changed {
			faults = append(faults, t.CheckReferences(&c.Document)...)
		}
	}
	return faults
}

// removesNames reports whether a team's permissions may have lost a name that
// they refer to.
func removesNames(old, updated *policy.Document) bool {
	for name := range old.Workloads {
		if _, ok := updated.Workloads[name]; !ok {
			return true
		}
	}
	for name := range old.Models {
		if _, ok := updated.Models[name]; !ok {
			return true
		}
	}
	return false
}

// commit sends the transaction until its outcome is known. After an uncertain
// result the change row of the version tells who has won. Its absence proves
// nothing, because the write may still be under way; the transaction is then
// sent again, which is safe, as the condition on the head admits one commit
// per version.
func (s *Store) commit(ctx context.Context, txn platform.Txn, row changeRow) (map[string]int64, error) {
	uncertain := false
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		res, err := s.table.Commit(ctx, txn)
		if err == nil && res.Committed {
			return res.Versions, nil
		}
		if err == nil && !uncertain {
			return nil, lost(row)
		}
		if errkind.Is(err, errkind.PlatformUnavailable) && !uncertain {
			return nil, err
		}
		uncertain = true
		stored, err := s.readChange(ctx, row.Version)
		if err == nil && stored.ID == row.ID {
			return nil, nil
		}
		if err == nil {
			return nil, lost(row)
		}
		if !timing.Sleep(ctx, backoff) {
			return nil, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown,
				"version %d may have been committed as change %s", row.Version, row.ID)
		}
	}
}

func lost(row changeRow) error {
	return errkind.New(errkind.VersionConflict, "another change became version %d", row.Version)
}

// applyOwn publishes a committed change, so that this router's next answer
// shows it. The row versions are unknown after a read-back, and other routers
// may have changed teams in versions that this one has not read; both cases
// need a read of the table, which the poll repeats if it fails here.
func (s *Store) applyOwn(ctx context.Context, doc policy.Document, teams []policy.Team, versions map[string]int64) {
	rows := make([]TeamRow, 0, len(teams))
	for _, t := range teams {
		if v := versions[prefixTeam+t.Name]; v > 0 {
			rows = append(rows, TeamRow{RowVersion: v, Team: t})
		}
	}
	if len(rows) == len(teams) && s.TeamsVersion() == doc.Version-1 {
		s.mergeTeams(doc.Version, rows)
		s.Adopt(doc)
		return
	}
	s.Adopt(doc)
	if err := s.Refresh(ctx); err != nil {
		s.log.Warn("config_refresh_failed", "version", doc.Version, "error", err)
	}
}
