package cli

import "tarragonridge.example/tarragonridge/internal/explain"

// lossesCmd counts the requests that gateways did not serve in time.
type lossesCmd struct {
	By    []string `default:"outcome,cause" help:"Groups to count by: outcome, cause, route, team, host, second, status."`
	Most  int      `default:"40" help:"Number of groups to print."`
	Files []string `arg:"" optional:"" help:"Files of log lines; - or none reads the standard input."`
}

// Run prints the counts.
func (c *lossesCmd) Run(s *Streams) error {
	losses, err := explain.NewLosses(c.By)
	if err != nil {
		return err
	}
	if err := readLogFiles(c.Files, losses.Read); err != nil {
		return err
	}
	return losses.Write(s.Out, c.Most)
}
