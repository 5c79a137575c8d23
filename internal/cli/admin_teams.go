package cli

import (
	"fmt"
	"io"

	"github.com/oklog/ulid/v2"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

type teamCmd struct {
	List        teamListCmd        `cmd:"" help:"List teams."`
	Show        teamShowCmd        `cmd:"" help:"Show a team."`
	Create      teamCreateCmd      `cmd:"" help:"Create a team."`
	Permissions teamPermissionsCmd `cmd:"" help:"Change permissions of a team; options left out keep their value."`
	Key         teamKeyCmd         `cmd:"" help:"Keys of a team."`
}

type teamListCmd struct{}

// Run lists the teams.
func (teamListCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		teams, err := s.client.Teams(s.ctx)
		if err != nil {
			return err
		}
		return s.print(teams, func(w io.Writer) {
			printRow(w, "TEAM", "WORKLOADS", "MODELS", "KEYS", "DISABLED")
			for _, t := range teams {
				printRow(w, t.Name, listOrAll(t.Workloads), listOrAll(t.Models), len(t.Keys), t.Disabled)
			}
		})
	})
}

type teamShowCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run shows a team.
func (c teamShowCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		t, _, err := s.client.Team(s.ctx, c.Team)
		if err != nil {
			return err
		}
		return s.print(t, func(w io.Writer) { printTeamRows(w, t) })
	})
}

func printTeamRows(w io.Writer, t admin.TeamView) {
	printRow(w, "team", t.Name)
	printRow(w, "workloads", listOrAll(t.Workloads))
	printRow(w, "models", listOrAll(t.Models))
	printRow(w, "max_concurrent", t.MaxConcurrent)
	printRow(w, "rate_per_second", t.RatePerSecond)
	printRow(w, "disabled", t.Disabled)
	for _, k := range t.Keys {
		printRow(w, "key", k.ID+" created "+formatUnixMicro(k.CreatedUS))
	}
}

// permissionFlags holds pointers, to distinguish an omitted option from one that
// is set to its zero value.
type permissionFlags struct {
	Workloads     *[]string `help:"Workloads that may draw on the budget; empty permits all." sep:","`
	Models        *[]string `help:"Models that may be used; empty permits all." sep:","`
	MaxConcurrent *int      `help:"Requests at once per router; 0 means no limit."`
	Rate          *float64  `help:"Requests per second per router; 0 means no limit."`
	Disabled      *bool     `help:"Refuse all requests of the team." negatable:""`
}

// applyTo changes the permissions for which an option was given.
func (f permissionFlags) applyTo(p *admin.Permissions) {
	setIfGiven(&p.Workloads, f.Workloads)
	setIfGiven(&p.Models, f.Models)
	setIfGiven(&p.MaxConcurrent, f.MaxConcurrent)
	setIfGiven(&p.RatePerSecond, f.Rate)
	setIfGiven(&p.Disabled, f.Disabled)
}

func setIfGiven[T any](dst *T, v *T) {
	if v != nil {
		*dst = *v
	}
}

type teamCreateCmd struct {
	Team string `arg:"" help:"Team."`
	permissionFlags
}

// Run creates a team.
func (c teamCreateCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		team := admin.CreateTeamRequest{Name: c.Team}
		c.applyTo(&team.Permissions)
		return s.printChange(s.client.CreateTeam(s.ctx, team))
	})
}

type teamPermissionsCmd struct {
	Team string `arg:"" help:"Team."`
	permissionFlags
}

// Run reads the permissions of a team and writes them back with the changes. It
// fails with version_conflict if the configuration has changed in between.
func (c teamPermissionsCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		t, version, err := s.client.Team(s.ctx, c.Team)
		if err != nil {
			return err
		}
		c.applyTo(&t.Permissions)
		return s.printChange(s.client.SetPermissions(s.ctx, c.Team, t.Permissions, version))
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
func (c keyAddCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.printKey(s.client.AddKey(s.ctx, c.Team)) })
}

type keyRotateCmd struct {
	Team string `arg:"" help:"Team."`
	ID   string `arg:"" help:"Id of the key to replace."`
}

// Run replaces a key with a new one.
func (c keyRotateCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.printKey(s.client.RotateKey(s.ctx, c.Team, c.ID)) })
}

func (s *adminSession) printKey(key admin.CreatedKey, err error) error {
	if err != nil {
		return err
	}
	return s.print(key, func(w io.Writer) {
		printRow(w, "id", key.ID)
		printRow(w, "key", key.Key)
		printChangeRows(w, key.ChangeResult)
	})
}

type keyRevokeCmd struct {
	Team string `arg:"" help:"Team."`
	ID   string `arg:"" help:"Id of the key."`
}

// Run removes a key.
func (c keyRevokeCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.printChange(s.client.RevokeKey(s.ctx, c.Team, c.ID)) })
}

type budgetCmd struct {
	Show    budgetShowCmd    `cmd:"" help:"Show a budget."`
	Topup   budgetTopUpCmd   `cmd:"" help:"Add prepaid tokens."`
	Release budgetReleaseCmd `cmd:"" help:"Make the routers return what no request has reserved."`
}

type budgetShowCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run shows a budget.
func (c budgetShowCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.printBudget(s.client.Budget(s.ctx, c.Team)) })
}

type budgetReleaseCmd struct {
	Team string `arg:"" help:"Team."`
}

// Run makes the routers return the tokens that no request has reserved, and
// shows the budget.
func (c budgetReleaseCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error { return s.printBudget(s.client.Release(s.ctx, c.Team)) })
}

func (s *adminSession) printBudget(budget admin.Budget, err error) error {
	if err != nil {
		return err
	}
	return s.print(budget, func(w io.Writer) {
		printRow(w, "topped_up", budget.ToppedUp)
		printRow(w, "settled", budget.Settled)
		printRow(w, "held", budget.Held)
		printRow(w, "left", budget.Left)
	})
}

type budgetTopUpCmd struct {
	Team   string `arg:"" help:"Team."`
	Tokens int64  `arg:"" help:"Tokens to add."`
	Key    string `help:"Idempotency key, such as the payment's number; a repeat with it adds nothing."`
}

// Run adds tokens to a budget. If the outcome is unknown, the error names the
// idempotency key with which the command can be repeated safely.
func (c budgetTopUpCmd) Run(s *adminSession, streams *Streams) error {
	if c.Key == "" {
		c.Key = ulid.Make().String()
	}
	return s.withClient(streams, func() error {
		budget, err := s.client.TopUp(s.ctx, c.Team, c.Key, c.Tokens)
		if err != nil && mayHaveTakenEffect(err) {
			return fmt.Errorf("the tokens may have been added; repeat with --key %s: %w", c.Key, err)
		}
		return s.printBudget(budget, err)
	})
}

// mayHaveTakenEffect reports whether a change may have been made although the
// call failed with err.
func mayHaveTakenEffect(err error) bool {
	kindErr := errkind.From(err)
	return kindErr.Kind == errkind.Unreachable || kindErr.Response().Ran != errkind.RanNo
}
