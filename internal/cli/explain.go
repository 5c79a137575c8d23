package cli

import (
	"io"
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
	var allEvents []explain.Event
	err := readLogFiles(c.Files, func(r io.Reader) error {
		events, err := explain.Collect(r, c.Request)
		allEvents = append(allEvents, events...)
		return err
	})
	if err != nil {
		return err
	}
	return explain.Write(s.Out, c.Request, allEvents)
}

// readLogFiles passes files of log lines to read, one after another. The name - stands
// for the standard input, which is also read if there are no files.
func readLogFiles(files []string, read func(io.Reader) error) error {
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, file := range files {
		if err := readLogFile(file, read); err != nil {
			return err
		}
	}
	return nil
}

func readLogFile(file string, read func(io.Reader) error) error {
	if file == "-" {
		return read(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return read(f)
}
