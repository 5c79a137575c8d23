package cli

import (
	"fmt"
	"io"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

type teamCmd struct {
	List        teamListCmd   `cmd:"" help:"List teams."`
	Show        teamShowCmd   `cmd:"" help:"Show a team."`
	Create      teamCreateCmd `cmd:"" help:"Create a team."`
	Permissions teamPermitCmd `cmd:"" help:"Change permissions of a team; options left out keep their value."`
	Key         teamKeyCmd    `cmd:"" help:"Keys of a team."`
}

type teamListCmd struct{}

// Run lists the teams.
func (teamListCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		teams, err := s.client.Teams(s.ctx)
		if err != nil {
			return err
		}
		return s.show(teams, func(w io.Writer) {
			row(w, "TEAM", "WORKLOADS", "MODELS", "KEYS", "DISABLED")
			for _, t := range teams {
				row(w, t.Name, all(t.Workloads), all(t.Models), len(t.Keys), t.Disabled)
			}
		})
	})
}

type teamShowCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run shows a team.
func (c teamShowCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		t, _, err := s.client.Team(s.ctx, c.Team)
		if err != nil {
			return err
		}
		return s.show(t, func(w io.Writer) { teamRows(w, t) })
	})
}

func teamRows(w io.Writer, t admin.TeamView) {
	row(w, "team", t.Name)
	row(w, "workloads", all(t.Workloads))
	row(w, "models", all(t.Models))
	row(w, "max_concurrent", t.MaxConcurrent)
	row(w, "rate_per_second", t.RatePerSecond)
	row(w, "disabled", t.Disabled)
	for _, k := range t.Keys {
		row(w, "key", k.ID+" created "+clock(k.CreatedUS))
	}
}

// permissionFlags are pointers, so that an option left out is told from one
// that is set to the zero value.
type permissionFlags struct {
	Workloads     *[]string `help:"Workloads that may draw on the budget; empty permits all." sep:","`
	Models        *[]string `help:"Models that may be used; empty permits all." sep:","`
	MaxConcurrent *int      `help:"Requests at once per router; 0 means no limit."`
	Rate          *float64  `help:"Requests per second per router; 0 means no limit."`
	Disabled      *bool     `help:"Refuse all requests of the team." negatable:""`
}

func (f permissionFlags) apply(p *admin.Permissions) {
	set(&p.Workloads, f.Workloads)
	set(&p.Models, f.Models)
	set(&p.MaxConcurrent, f.MaxConcurrent)
	set(&p.RatePerSecond, f.Rate)
	set(&p.Disabled, f.Disabled)
}

func set[T any](dst *T, v *T) {
	if v != nil {
		*dst = *v
	}
}

type teamCreateCmd struct {
	Team string `arg:"" help:"Team."`
	permissionFlags
}

// Run creates a team.
func (c teamCreateCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		team := admin.CreateTeamRequest{Name: c.Team}
		c.apply(&team.Permissions)
		return s.showAccepted(s.client.CreateTeam(s.ctx, team))
	})
}

type teamPermitCmd struct {
	Team string `arg:"" help:"Team."`
	permissionFlags
}

// Run changes the permissions of a team. It fails with version_conflict if
// somebody else changed the configuration in between.
func (c teamPermitCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		t, version, err := s.client.Team(s.ctx, c.Team)
		if err != nil {
			return err
		}
		c.apply(&t.Permissions)
		return s.showAccepted(s.client.SetPermissions(s.ctx, c.Team, t.Permissions, version))
	})
}

type teamKeyCmd struct {
	Add    keyAddCmd    `cmd:"" help:"Add a key; it is shown once."`
	Rotate keyRotateCmd `cmd:"" help:"Replace a key; the old one ends at once."`
	Revoke keyRevokeCmd `cmd:"" help:"Remove a key."`
}

type keyAddCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run adds a key.
func (c keyAddCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.showKey(s.client.AddKey(s.ctx, c.Team)) })
}

type keyRotateCmd struct {
	Team string `arg:"" help:"Team."`
	ID   string `arg:"" help:"Id of the key to replace."`
}

// Run replaces a key.
func (c keyRotateCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.showKey(s.client.RotateKey(s.ctx, c.Team, c.ID)) })
}

func (s *session) showKey(k admin.CreatedKey, err error) error {
	if err != nil {
		return err
	}
	return s.show(k, func(w io.Writer) {
		row(w, "id", k.ID)
		row(w, "key", k.Key)
		acceptedRows(w, k.ChangeResult)
	})
}

type keyRevokeCmd struct {
	Team string `arg:"" help:"Team."`
	ID   string `arg:"" help:"Id of the key."`
}

// Run removes a key.
func (c keyRevokeCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.showAccepted(s.client.RevokeKey(s.ctx, c.Team, c.ID)) })
}

type budgetCmd struct {
	Show    budgetShowCmd    `cmd:"" help:"Show a budget."`
	Topup   topUpCmd         `cmd:"" help:"Add prepaid tokens."`
	Release budgetReleaseCmd `cmd:"" help:"Make the routers return what no request has reserved."`
}

type budgetShowCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run shows a budget.
func (c budgetShowCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.showBudget(s.client.Budget(s.ctx, c.Team)) })
}

type budgetReleaseCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run makes the routers return their share and shows the budget.
func (c budgetReleaseCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error { return s.showBudget(s.client.Release(s.ctx, c.Team)) })
}

func (s *session) showBudget(b admin.Budget, err error) error {
	if err != nil {
		return err
	}
	return s.show(b, func(w io.Writer) {
		row(w, "topped_up", b.ToppedUp)
		row(w, "settled", b.Settled)
		row(w, "held", b.Held)
		row(w, "left", b.Left)
	})
}

type topUpCmd struct {
	Team   string `arg:"" help:"Team."`
	Tokens int64  `arg:"" help:"Tokens to add."`
	Key    string `help:"Idempotency key, such as the payment's number; a repeat with it adds nothing."`
}

// Run adds tokens. If the outcome is not known, the message names the key with
// which the command can be repeated safely.
func (c topUpCmd) Run(s *session, streams *Streams) error {
	if c.Key == "" {
		c.Key = ulid.Make().String()
	}
	return s.run(streams, func() error {
		b, err := s.client.TopUp(s.ctx, c.Team, c.Key, c.Tokens)
		if err != nil && mayHaveTakenEffect(err) {
			return fmt.Errorf("the tokens may have been added; repeat with --key %s: %w", c.Key, err)
		}
		return s.showBudget(b, err)
	})
}

func mayHaveTakenEffect(err error) bool {
	e := errkind.From(err)
	return e.Kind == errkind.Unreachable || e.Response().Ran != errkind.RanNo
}
