package cli

import (
	"os"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/experiment"
)

// loadExperimentCmd runs a series of cells, each with a fleet of its own.
type loadExperimentCmd struct {
	File   string `arg:"" type:"existingfile" help:"Series, JSON with comments."`
	Dir    string `default:"." help:"Directory for the results, one file per cell."`
	Shard  int    `help:"Index of the cells that this process measures, from 0."`
	Shards int    `default:"1" help:"Number of processes that share the series."`
}

// Run measures until all cells are done or a signal arrives. It fails if the
// books of a cell do not agree.
func (c *loadExperimentCmd) Run(s *Streams) error {
	spec, err := experiment.Open(c.File)
	if err != nil {
		return &UsageError{Err: err}
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return eris.Wrap(err, "results")
	}
	ctx, stop := signalContext()
	defer stop()
	results, err := experiment.Run(ctx, spec, experiment.Shard{Index: c.Shard, Count: c.Shards}, c.Dir, s.Out)
	if err != nil {
		return err
	}
	for _, r := range results {
		if len(r.Audit.Violations) > 0 {
			return errViolations
		}
	}
	return nil
}
