package cli

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/settings"
)

// settingsFlags holds the flags that select a settings file and override its
// values.
type settingsFlags struct {
	Config string   `required:"" type:"path" help:"Settings file, JSON with comments."`
	Set    []string `name:"set" sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the file, for example platform.url=http://127.0.0.1:9000; may be repeated."`
}

// overrides parses the --set flags. A malformed one is a usage error.
func (f settingsFlags) overrides() ([]settings.Override, error) {
	var overrides []settings.Override
	for _, assignment := range f.Set {
		override, err := settings.ParseOverride(assignment)
		if err != nil {
			return nil, &UsageError{Err: err}
		}
		overrides = append(overrides, override)
	}
	return overrides, nil
}

// signalContext returns a context that SIGTERM or SIGINT cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// surviveBrokenLog keeps the end of what reads the log from ending the process: without it a
// write to standard error raises SIGPIPE.
func surviveBrokenLog() { signal.Ignore(syscall.SIGPIPE) }

// newLogger returns a logger that writes one line of key=value pairs per event.
// An unknown level means info.
func newLogger(w io.Writer, level string) *slog.Logger {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		parsed = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: parsed}))
}

// newPlatformClient returns a client of the platform's services for a host.
func newPlatformClient(p settings.Platform, host string) *platform.Client {
	return platform.NewClient(platform.Options{BaseURL: p.URL, Timeout: p.Timeout(), Host: host})
}
