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

const httpTimeout = 5 * time.Second // of a request for metrics or platform counts

// Metrics that a router exports.
const (
	metricCPU            = "process_cpu_seconds_total"
	metricResidentMemory = "process_resident_memory_bytes"
	metricRPCReceived    = "tarragonridge_rpc_received_bytes_total"
	metricRPCSent        = "tarragonridge_rpc_sent_bytes_total"
	metricConfigVersion  = "tarragonridge_config_version"
	metricUsableTargets  = "tarragonridge_targets_usable"
)

// platformStats is the response to GET /control/stats.
type platformStats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	RateLimited int64 `json:"rate_limited"`
}

// sample holds the metrics of the router and the call counts of the platform at
// one moment.
type sample struct {
	takenAt  time.Time
	router   map[string]float64
	platform platformStats
	ownCalls platformStats // calls of this process, included in platform
}

// fetch sends a GET request and passes the response body to decode.
func fetch(ctx context.Context, url string, decode func(io.Reader) error) error {
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
	return eris.Wrap(decode(resp.Body), url)
}

// scrape reads the metrics that have no labels.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	var values map[string]float64
	err := fetch(ctx, url, func(r io.Reader) error {
		var err error
		values, err = parseMetrics(r)
		return err
	})
	return values, err
}

func parseMetrics(text io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
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
		values[name] = number
	}
	for _, name := range []string{metricCPU, metricResidentMemory, metricRPCReceived, metricRPCSent, metricConfigVersion} {
		if _, ok := values[name]; !ok {
			return nil, eris.Errorf("%s is missing", name)
		}
	}
	return values, lines.Err()
}

func (m *measurement) takeSample(ctx context.Context) (sample, error) {
	s := sample{takenAt: time.Now()}
	var err error
	if s.router, err = scrape(ctx, m.config.Metrics[0]); err != nil {
		return s, err
	}
	s.ownCalls = platformStats{Reads: m.table.reads.Load(), Writes: m.table.writes.Load()}
	err = fetch(ctx, strings.TrimRight(m.config.Platform, "/")+"/control/stats", func(r io.Reader) error {
		return json.NewDecoder(r).Decode(&s.platform)
	})
	return s, err
}

// loadAverage returns the machine's load averages over 1, 5 and 15 min, or "" if
// the operating system does not provide them.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
