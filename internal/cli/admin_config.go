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
func (presetListCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		presets, _, err := s.client.Presets(s.ctx)
		if err != nil {
			return err
		}
		return s.print(presets, func(w io.Writer) {
			printRow(w, "PRESET", "ACTIVE", "CHOICE", "RUNS/TARGET", "QUEUE", "WAIT_MS", "MIN_PRIORITY", "RETRY_SHARE")
			for _, name := range slices.Sorted(maps.Keys(presets.Presets)) {
				printPresetRow(w, name, name == presets.Active, presets.Presets[name])
			}
		})
	})
}

func printPresetRow(w io.Writer, name string, active bool, preset policy.Preset) {
	printRow(w, name, active, preset.TargetChoice, preset.MaxRunsPerTarget, preset.QueueLimit, preset.AdmissionTimeoutMS, preset.MinPriority, preset.RetryShare)
}

type presetShowCmd struct {
	Preset string `arg:"" help:"Preset."`
}

// Run shows a preset.
func (c presetShowCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		preset, err := s.client.Preset(s.ctx, c.Preset)
		if err != nil {
			return err
		}
		return s.print(preset, func(w io.Writer) {
			printRow(w, "target_choice", preset.TargetChoice)
			printRow(w, "affinity_load_bound", preset.AffinityLoadBound)
			printRow(w, "max_runs_per_target", preset.MaxRunsPerTarget)
			printRow(w, "queue_limit", preset.QueueLimit)
			printRow(w, "admission_timeout_ms", preset.AdmissionTimeoutMS)
			printRow(w, "min_priority", preset.MinPriority)
			printRow(w, "retry_share", preset.RetryShare)
			printRow(w, "default_output_tokens", preset.DefaultOutputTokens)
		})
	})
}

type presetUseCmd struct {
	Preset  string `arg:"" help:"Preset."`
	Version int64  `help:"Configuration version that you have seen; default: the current one."`
}

// Run makes a preset the active one.
func (c presetUseCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		if c.Version == 0 {
			_, version, err := s.client.Presets(s.ctx)
			if err != nil {
				return err
			}
			c.Version = version
		}
		return s.printChange(s.client.SetActivePreset(s.ctx, c.Preset, c.Version))
	})
}

type adminConfigCmd struct {
	Get    configGetCmd    `cmd:"" help:"Print the policy document."`
	Put    configPutCmd    `cmd:"" help:"Replace the policy document with a file."`
	Diff   configDiffCmd   `cmd:"" help:"Compare a file with the document in force."`
	Status configStatusCmd `cmd:"" help:"Show which processes have the current version."`
}

type configGetCmd struct{}

// Run prints the document as JSON, with or without --json. The document contains
// its version, which put takes from the file.
func (configGetCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		doc, _, err := s.client.Config(s.ctx)
		if err != nil {
			return err
		}
		s.options.JSON = true
		return s.print(doc, nil)
	})
}

type configPutCmd struct {
	File    string `arg:"" help:"Policy document, JSON with comments."`
	Version int64  `help:"Version to replace; default: the version that the file names."`
}

// Run replaces the document. The version in the file prevents overwriting a
// change that was made after the file was fetched.
func (c configPutCmd) Run(s *adminSession, streams *Streams) error {
	doc, err := readPolicyDocument(c.File)
	if err != nil {
		return err
	}
	if c.Version == 0 {
		c.Version = doc.Version
	}
	return s.withClient(streams, func() error { return s.printChange(s.client.PutConfig(s.ctx, doc, c.Version)) })
}

type configDiffCmd struct {
	File string `arg:"" help:"Policy document, JSON with comments."`
}

// Run prints the differences between the current document and a file.
func (c configDiffCmd) Run(s *adminSession, streams *Streams) error {
	doc, err := readPolicyDocument(c.File)
	if err != nil {
		return err
	}
	return s.withClient(streams, func() error {
		diff, err := s.client.DiffConfig(s.ctx, doc)
		if err != nil {
			return err
		}
		return s.print(diff, func(w io.Writer) {
			for _, line := range diff.Lines {
				printRow(w, line)
			}
		})
	})
}

// readPolicyDocument reads a policy document from a file. An unreadable or
// malformed file is a usage error; the router validates the content.
func readPolicyDocument(path string) (policy.Document, error) {
	var doc policy.Document
	data, err := os.ReadFile(path)
	if err != nil {
		return doc, &UsageError{Err: eris.Wrap(err, "read document")}
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return doc, &UsageError{Err: eris.Wrapf(err, "document %s", path)}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return doc, &UsageError{Err: eris.Wrapf(err, "document %s", path)}
	}
	return doc, nil
}

type configStatusCmd struct{}

// Run shows which processes have the current version.
func (configStatusCmd) Run(s *adminSession, streams *Streams) error {
	return s.withClient(streams, func() error {
		status, err := s.client.ConfigStatus(s.ctx)
		if err != nil {
			return err
		}
		return s.print(status, func(w io.Writer) { printStatusRows(w, status) })
	})
}

func printStatusRows(w io.Writer, status admin.ChangeResult) {
	printRow(w, "version", status.Version)
	for _, p := range status.Confirmed {
		printRow(w, "confirmed", p)
	}
	for _, p := range status.Pending {
		printRow(w, "pending", p)
	}
}
