package cli

import (
	"log/slog"
	"net/http"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/listen"
)

// openFiles returns how many descriptors the process may have: what the settings say, or what
// the system allows if that is less or they do not say it. 0 means that it is not known.
func openFiles(configured int64) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxOpenFiles {
		return int(configured)
	}
	if configured > 0 {
		return int(min(configured, int64(limit.Cur)))
	}
	return int(limit.Cur)
}

// maxOpenFiles is the number from which the system's limit counts as none.
const maxOpenFiles = 1 << 20

// sideListener serves the load balancer or operators on an address of its own.
type sideListener struct {
	name    string // in log lines and metrics
	address string
	handler http.Handler
}

// serve starts to listen and serves in the background.
func (l sideListener) serve(descriptors intake.Descriptors, log *slog.Logger, registry prometheus.Registerer) error {
	ln, err := listen.TCP(l.address, listen.SideBuffer)
	if err != nil {
		return err
	}
	server := callers.NewSideServer(l.name, l.handler, descriptors.Side(), log)
	if err := registry.Register(server.Pool); err != nil {
		return err
	}
	go func() {
		if err := server.Serve(ln); err != nil {
			log.Error("listener failed", "listener", l.name, "address", l.address, "err", err)
		}
	}()
	return nil
}
