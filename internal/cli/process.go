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

// settingsFlags name the settings of a process.
type settingsFlags struct {
	Config string   `required:"" type:"path" help:"Settings file, JSON with comments."`
	Set    []string `name:"set" sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the file, for example platform.url=http://127.0.0.1:9000; may be repeated."`
}

func (f settingsFlags) overrides() ([]settings.Override, error) {
	var out []settings.Override
	for _, s := range f.Set {
		o, err := settings.ParseOverride(s)
		if err != nil {
			return nil, &UsageError{Err: err}
		}
		out = append(out, o)
	}
	return out, nil
}

// signalContext ends with SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// newLogger writes one line of key=value pairs per event.
func newLogger(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}

// newPlatformClient opens the platform's services.
func newPlatformClient(p settings.Platform, host string) *platform.Client {
	return platform.NewClient(platform.Options{BaseURL: p.URL, Timeout: p.Timeout(), Host: host})
}
