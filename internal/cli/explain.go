package cli

import (
	"os"

	"tarragonridge.example/tarragonridge/internal/explain"
)

// explainCmd merges the log lines of many processes into the history of one
// request.
type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" optional:"" help:"Files of log lines; - or none reads the standard input."`
}

// Run prints the events of the request and a conclusion about its outcome.
func (c *explainCmd) Run(s *Streams) error {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var allEvents []explain.Event
	for _, file := range files {
		events, err := collectEvents(file, c.Request)
		if err != nil {
			return err
		}
		allEvents = append(allEvents, events...)
	}
	return explain.Write(s.Out, c.Request, allEvents)
}

// collectEvents returns the events of a request from a file of log lines. The
// name - stands for the standard input.
func collectEvents(file, requestID string) ([]explain.Event, error) {
	if file == "-" {
		return explain.Collect(os.Stdin, requestID)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.Collect(f, requestID)
}
