package cli

import (
	"os"

	"tarragonridge.example/tarragonridge/internal/explain"
)

// explainCmd merges the log lines of many processes into the story of one
// request.
type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" optional:"" help:"Files of log lines; - or none reads the standard input."`
}

// Run prints the events of the request and a verdict.
func (c *explainCmd) Run(s *Streams) error {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var all []explain.Event
	for _, name := range files {
		events, err := collect(name, c.Request)
		if err != nil {
			return err
		}
		all = append(all, events...)
	}
	return explain.Write(s.Out, c.Request, all)
}

func collect(name, request string) ([]explain.Event, error) {
	if name == "-" {
		return explain.Collect(os.Stdin, request)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.Collect(f, request)
}
