package control

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const httpTimeout = 5 * time.Second

// Metrics of a router.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricReceived = "tarragonridge_rpc_received_bytes_total"
	metricSent     = "tarragonridge_rpc_sent_bytes_total"
	metricVersion  = "tarragonridge_config_version"
	metricUsable   = "tarragonridge_targets_usable"
)

// platformStats is the answer of GET /control/stats.
type platformStats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	RateLimited int64 `json:"rate_limited"`
}

// sample is the state of router and platform at one moment.
type sample struct {
	at       time.Time
	router   map[string]float64
	platform platformStats
	own      platformStats // calls of this process
}

// fetch reads a URL.
func fetch(ctx context.Context, url string, use func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, url)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return eris.Wrap(use(resp.Body), url)
}

// scrape reads the metrics without labels.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	var out map[string]float64
	err := fetch(ctx, url, func(r io.Reader) error {
		var err error
		out, err = parseMetrics(r)
		return err
	})
	return out, err
}

func parseMetrics(text io.Reader) (map[string]float64, error) {
	out := map[string]float64{}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || name == "#" || strings.Contains(name, "{") {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, eris.Wrap(err, name)
		}
		out[name] = number
	}
	for _, name := range []string{metricCPU, metricResident, metricReceived, metricSent, metricVersion} {
		if _, ok := out[name]; !ok {
			return nil, eris.Errorf("%s is missing", name)
		}
	}
	return out, lines.Err()
}

func (m *measurement) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now()}
	var err error
	if s.router, err = scrape(ctx, m.config.Metrics[0]); err != nil {
		return s, err
	}
	s.own = platformStats{Reads: m.table.reads.Load(), Writes: m.table.writes.Load()}
	err = fetch(ctx, strings.TrimRight(m.config.Platform, "/")+"/control/stats", func(r io.Reader) error {
		return json.NewDecoder(r).Decode(&s.platform)
	})
	return s, err
}

// loadAverage returns the machine's load over 1, 5 and 15 min, or nothing
// where the system does not tell it.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
