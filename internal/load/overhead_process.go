package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/timing"
)

const (
	metricCPU            = "process_cpu_seconds_total"
	metricResidentMemory = "process_resident_memory_bytes"
	metricsTimeout       = 2 * time.Second
)

// processSample holds the resource use that a process reports in its metrics.
type processSample struct {
	cpuSeconds    float64 // since the start of the process
	residentBytes int64
}

// processSamples holds one sample each of router and sidecar.
type processSamples struct{ router, sidecar processSample }

func (r *overheadRun) readProcesses(ctx context.Context) (processSamples, error) {
	var out processSamples
	var err error
	if out.router, err = r.readProcess(ctx, r.config.RouterMetrics); err != nil {
		return out, err
	}
	out.sidecar, err = r.readProcess(ctx, r.config.SidecarMetrics)
	return out, err
}

func (r *overheadRun) readProcess(ctx context.Context, url string) (processSample, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return processSample{}, eris.Wrap(err, "metrics")
	}
	resp, err := r.http.Do(request)
	if err != nil {
		return processSample{}, eris.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	sample, err := parseProcessMetrics(resp.Body)
	return sample, eris.Wrapf(err, "metrics of %s", url)
}

// parseProcessMetrics parses CPU time and resident memory from the Prometheus
// text format.
func parseProcessMetrics(text io.Reader) (processSample, error) {
	var sample processSample
	found := 0
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if name != metricCPU && name != metricResidentMemory {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return sample, eris.Wrap(err, name)
		}
		found++
		if name == metricCPU {
			sample.cpuSeconds = number
			continue
		}
		sample.residentBytes = int64(number)
	}
	if found != 2 {
		return sample, eris.Errorf("%s or %s is missing", metricCPU, metricResidentMemory)
	}
	return sample, lines.Err()
}

// memoryPeak holds the largest sample of resident memory and the number of
// streams open at that moment.
type memoryPeak struct {
	residentBytes int64
	openStreams   int64
}

type memoryPeaks struct{ router, sidecar memoryPeak }

// memorySampler samples the memory of router and sidecar during a repetition.
type memorySampler struct {
	cancel context.CancelFunc
	done   chan struct{}
	peaks  memoryPeaks
}

func startMemorySampler(ctx context.Context, r *overheadRun, before processSamples, routedStreams *openStreams) *memorySampler {
	ctx, cancel := context.WithCancel(ctx)
	s := &memorySampler{cancel: cancel, done: make(chan struct{})}
	s.peaks.router.residentBytes = before.router.residentBytes
	s.peaks.sidecar.residentBytes = before.sidecar.residentBytes
	go func() {
		defer close(s.done)
		for timing.Sleep(ctx, memorySampleInterval) {
			s.sample(ctx, r, routedStreams)
		}
	}()
	return s
}

func (s *memorySampler) sample(ctx context.Context, r *overheadRun, routedStreams *openStreams) {
	now, err := r.readProcesses(ctx)
	if err != nil {
		return // errors are reported by the samples before and after the repetition
	}
	streams := routedStreams.Load()
	s.peaks.router.update(now.router.residentBytes, streams)
	s.peaks.sidecar.update(now.sidecar.residentBytes, streams)
}

func (p *memoryPeak) update(residentBytes, openStreams int64) {
	if residentBytes > p.residentBytes {
		p.residentBytes, p.openStreams = residentBytes, openStreams
	}
}

func (s *memorySampler) stop() memoryPeaks {
	s.cancel()
	<-s.done
	return s.peaks
}
