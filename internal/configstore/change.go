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

// AnyVersion, passed to Store.Change as expectedVersion, applies the mutation
// to the version that is current at the time. It is meant for mutations that
// only add or remove one item.
const AnyVersion int64 = -1

const (
	maxChangeAttempts = 10 // attempts of an AnyVersion change before a version conflict is returned
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = time.Second
)

// Change is a configuration change that has not been committed. The mutation
// may modify Document freely; its version is set afterwards.
type Change struct {
	Document policy.Document

	base  policy.Document // the document before the change
	ctx   context.Context // for reads of teams by the mutation
	store *Store
	teams map[string]policy.Team // teams set by the mutation, by name
}

// Team returns a team, including changes made by SetTeam, or errkind.NotFound.
func (c *Change) Team(name string) (policy.Team, error) {
	if t, ok := c.teams[name]; ok {
		return t.Clone(), nil
	}
	row, err := c.store.readTeam(c.ctx, name)
	return row.Team, err
}

// SetTeam creates or replaces a team.
func (c *Change) SetTeam(t policy.Team) { c.teams[t.Name] = t.Clone() }

// Change applies mutate to the configuration at expectedVersion, commits the
// result as the next version and returns that version. Errors:
//
//   - errkind.VersionConflict: expectedVersion is not current, or another change
//     was committed first;
//   - errkind.InvalidRequest: the result fails validation; the detail lists the
//     faults;
//   - errkind.PlatformUnavailable: the table is unavailable or holds no
//     configuration; nothing has been changed;
//   - errkind.OutcomeUnknown: ctx ended before the outcome was known;
//   - any error returned by mutate.
//
// mutate may be called several times.
func (s *Store) Change(ctx context.Context, expectedVersion int64, operator string, mutate func(*Change) error) (int64, error) {
	for attempt := 1; ; attempt++ {
		version, err := s.tryChange(ctx, expectedVersion, operator, mutate)
		retry := expectedVersion == AnyVersion && errkind.Is(err, errkind.VersionConflict) && attempt < maxChangeAttempts
		if !retry {
			return version, err
		}
	}
}

func (s *Store) tryChange(ctx context.Context, expectedVersion int64, operator string, mutate func(*Change) error) (int64, error) {
	head, change, err := s.beginChange(ctx, expectedVersion)
	if err != nil {
		return 0, err
	}
	if err := mutate(change); err != nil {
		return 0, err
	}
	change.Document.Version = head.Version + 1
	faults, err := change.validate()
	if err != nil {
		return 0, err
	}
	if len(faults) > 0 {
		return 0, errkind.New(errkind.InvalidRequest, "%s", policy.FormatFaults(faults))
	}
	row := changeRow{
		ID: newChangeID(), Version: change.Document.Version, Operator: operator,
		AtUS: s.clock().UnixMicro(), Keys: change.rowKeys(),
	}
	teams := change.sortedTeams()
	versions, err := s.commit(ctx, newChangeTxn(head, change.Document, row, teams), row)
	if err != nil {
		return 0, err
	}
	s.publishCommitted(ctx, change.Document, teams, versions)
	s.log.Info("config_changed", "version", row.Version, "operator", operator, "keys", len(row.Keys))
	return row.Version, nil
}

// beginChange reads the current configuration from the table and checks its
// version. If another change is committed between the two reads, the document
// is newer than the head; the commit then fails because the row version of the
// head has changed.
func (s *Store) beginChange(ctx context.Context, expectedVersion int64) (headRow, *Change, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		if errkind.Is(err, errkind.NotFound) {
			return head, nil, errkind.New(errkind.PlatformUnavailable, "no configuration yet")
		}
		return head, nil, err
	}
	if expectedVersion != AnyVersion && expectedVersion != head.Version {
		return head, nil, errkind.New(errkind.VersionConflict, "version is %d, not %d", head.Version, expectedVersion)
	}
	doc, err := s.readDocument(ctx)
	if err != nil {
		return head, nil, err
	}
	return head, &Change{Document: doc, base: doc.Clone(), ctx: ctx, store: s, teams: map[string]policy.Team{}}, nil
}

func (c *Change) sortedTeams() []policy.Team {
	teams := make([]policy.Team, 0, len(c.teams))
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		teams = append(teams, c.teams[name])
	}
	return teams
}

func (c *Change) rowKeys() []string {
	keys := []string{documentRowKey}
	for _, t := range c.sortedTeams() {
		keys = append(keys, teamRowPrefix+t.Name)
	}
	return keys
}

// validate returns the faults of the result. The teams that the mutation has not
// changed are read from the table, because this router may not know a team that
// another one has just added. If a team changes after that, the commit fails.
func (c *Change) validate() ([]policy.Fault, error) {
	faults := c.Document.Validate()
	for _, t := range c.sortedTeams() {
		faults = append(faults, t.Validate(&c.Document)...)
	}
	if !removesWorkloadOrModel(&c.base, &c.Document) {
		return faults, nil
	}
	teams, err := c.store.scanTeams(c.ctx)
	if err != nil {
		return nil, err
	}
	for _, t := range teams {
		if _, changed := c.teams[t.Team.Name]; !changed {
			faults = append(faults, t.Team.CheckReferences(&c.Document)...)
		}
	}
	return faults, nil
}

// removesWorkloadOrModel reports whether the update removes a workload or a
// model, which the permissions of some team may refer to.
func removesWorkloadOrModel(old, updated *policy.Document) bool {
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
// result it reads the change row of the version: the row's ID tells whether
// this change or another one was committed. If the row is absent, the write may
// still be in progress, so the transaction is sent again. That is safe because
// the condition on the head row allows only one commit per version.
//
// It returns the row versions that the table assigned, or nil if the commit was
// confirmed only by reading the change row.
func (s *Store) commit(ctx context.Context, txn platform.Txn, row changeRow) (map[string]platform.Version, error) {
	uncertain := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, err := s.table.Commit(ctx, txn)
		if err == nil && result.Committed {
			return result.Versions, nil
		}
		if err == nil && !uncertain {
			return nil, versionTaken(row)
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
			return nil, versionTaken(row)
		}
		if !timing.Sleep(ctx, backoff) {
			return nil, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown,
				"version %d may have been committed as change %s", row.Version, row.ID)
		}
	}
}

// versionTaken returns the error for a change that lost the compare-and-set.
func versionTaken(row changeRow) error {
	return errkind.New(errkind.VersionConflict, "another change became version %d", row.Version)
}

// publishCommitted publishes a committed change locally, so that the next
// response of this router shows it. The teams are merged directly if the row
// versions are known and the store's teams include all changes up to the
// preceding version.
// The row versions are unknown if the commit was confirmed only by reading the
// change row, and other routers may have changed teams in versions that this
// router has not read. In both cases the table must be read; if that fails, the
// next poll repeats it.
func (s *Store) publishCommitted(ctx context.Context, doc policy.Document, teams []policy.Team, versions map[string]platform.Version) {
	rows := make([]TeamRow, 0, len(teams))
	for _, t := range teams {
		if rowVersion := versions[teamRowPrefix+t.Name]; !rowVersion.IsZero() {
			rows = append(rows, TeamRow{RowVersion: rowVersion, Team: t})
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
