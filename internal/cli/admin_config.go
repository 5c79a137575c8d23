package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/core/policy"
)

type presetCmd struct {
	List presetListCmd `cmd:"" help:"List presets."`
	Show presetShowCmd `cmd:"" help:"Show a preset."`
	Use  presetUseCmd  `cmd:"" help:"Put a preset in force."`
}

type presetListCmd struct{}

// Run lists the presets.
func (presetListCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		p, _, err := s.client.Presets(s.ctx)
		if err != nil {
			return err
		}
		return s.show(p, func(w io.Writer) {
			row(w, "PRESET", "ACTIVE", "CHOICE", "RUNS/TARGET", "QUEUE", "WAIT_MS", "MIN_PRIORITY", "RETRY_SHARE")
			for _, name := range slices.Sorted(maps.Keys(p.Presets)) {
				presetRow(w, name, name == p.Active, p.Presets[name])
			}
		})
	})
}

func presetRow(w io.Writer, name string, active bool, p policy.Preset) {
	row(w, name, active, p.TargetChoice, p.MaxRunsPerTarget, p.QueueLimit, p.AdmissionTimeoutMS, p.MinPriority, p.RetryShare)
}

type presetShowCmd struct {
	Preset string `arg:"" help:"Preset."`
}

// Run shows a preset.
func (c presetShowCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		p, err := s.client.Preset(s.ctx, c.Preset)
		if err != nil {
			return err
		}
		return s.show(p, func(w io.Writer) {
			row(w, "target_choice", p.TargetChoice)
			row(w, "affinity_load_bound", p.AffinityLoadBound)
			row(w, "max_runs_per_target", p.MaxRunsPerTarget)
			row(w, "queue_limit", p.QueueLimit)
			row(w, "admission_timeout_ms", p.AdmissionTimeoutMS)
			row(w, "min_priority", p.MinPriority)
			row(w, "retry_share", p.RetryShare)
			row(w, "default_output_tokens", p.DefaultOutputTokens)
		})
	})
}

type presetUseCmd struct {
	Preset  string `arg:"" help:"Preset."`
	Version int64  `help:"Configuration version that you have seen; default: the current one."`
}

// Run puts a preset in force.
func (c presetUseCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		if c.Version == 0 {
			_, version, err := s.client.Presets(s.ctx)
			if err != nil {
				return err
			}
			c.Version = version
		}
		return s.showAccepted(s.client.SetActivePreset(s.ctx, c.Preset, c.Version))
	})
}

type adminConfig struct {
	Get    configGetCmd    `cmd:"" help:"Print the policy document."`
	Put    configPutCmd    `cmd:"" help:"Replace the policy document with a file."`
	Diff   configDiffCmd   `cmd:"" help:"Compare a file with the document in force."`
	Status configStatusCmd `cmd:"" help:"Show which processes have the current version."`
}

type configGetCmd struct{}

// Run prints the document, which is JSON in either mode; its version is the
// one to pass to put.
func (configGetCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		doc, _, err := s.client.Config(s.ctx)
		if err != nil {
			return err
		}
		s.options.JSON = true
		return s.show(doc, nil)
	})
}

type configPutCmd struct {
	File    string `arg:"" help:"Policy document, JSON with comments."`
	Version int64  `help:"Version to replace; default: the version that the file names."`
}

// Run replaces the document. The version of the file guards against
// overwriting a change that was made after the file was fetched.
func (c configPutCmd) Run(s *session, streams *Streams) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	if c.Version == 0 {
		c.Version = doc.Version
	}
	return s.run(streams, func() error { return s.showAccepted(s.client.PutConfig(s.ctx, doc, c.Version)) })
}

type configDiffCmd struct {
	File string `arg:"" help:"Policy document, JSON with comments."`
}

// Run compares a file with the document in force.
func (c configDiffCmd) Run(s *session, streams *Streams) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	return s.run(streams, func() error {
		d, err := s.client.DiffConfig(s.ctx, doc)
		if err != nil {
			return err
		}
		return s.show(d, func(w io.Writer) {
			for _, line := range d.Lines {
				row(w, line)
			}
		})
	})
}

// readDocument reads a policy document. A file that does not parse is a usage
// error; the router validates the content.
func readDocument(path string) (policy.Document, error) {
	var doc policy.Document
	data, err := os.ReadFile(path)
	if err != nil {
		return doc, &UsageError{Err: eris.Wrap(err, "read document")}
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return doc, &UsageError{Err: eris.Wrapf(err, "document %s", path)}
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return doc, &UsageError{Err: eris.Wrapf(err, "document %s", path)}
	}
	return doc, nil
}

type configStatusCmd struct{}

// Run shows which processes have the current version.
func (configStatusCmd) Run(s *session, streams *Streams) error {
	return s.run(streams, func() error {
		a, err := s.client.ConfigStatus(s.ctx)
		if err != nil {
			return err
		}
		return s.show(a, func(w io.Writer) { statusRows(w, a) })
	})
}

func statusRows(w io.Writer, a admin.ChangeResult) {
	row(w, "version", a.Version)
	for _, p := range a.Confirmed {
		row(w, "confirmed", p)
	}
	for _, p := range a.Pending {
		row(w, "pending", p)
	}
}
