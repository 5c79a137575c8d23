package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// faultTimeout is the timeout of the request that injects a fault.
const faultTimeout = 5 * time.Second

// Fault is a fault to inject: a body that is POSTed to a stand-in at a given
// time.
type Fault struct {
	AtSeconds float64         `json:"at_s"`
	URL       string          `json:"url"`
	Body      json.RawMessage `json:"body"`
}

// FaultResult is the result of injecting a fault.
type FaultResult struct {
	AtSeconds float64 `json:"at_s"` // actual send time, since the start of the run
	URL       string  `json:"url"`
	Status    int     `json:"status,omitempty"`
	Error     string  `json:"error,omitempty"`
}

// ParseFaults parses a fault schedule, which is a JSON list of faults.
func ParseFaults(data []byte) ([]Fault, error) {
	var faults []Fault
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return nil, eris.Wrap(err, "fault schedule")
	}
	return faults, nil
}

func (f Fault) validate() error {
	switch {
	case f.AtSeconds < 0 || f.AtSeconds > maxDuration.Seconds():
		return eris.New("at_s must be between 0 and 21600")
	case !isHTTPURL(f.URL):
		return eris.Errorf("%q is not an http URL", f.URL)
	case !json.Valid(f.Body):
		return eris.New("body is missing or is not valid JSON")
	}
	return nil
}

// faultLog collects the results of the injected faults.
type faultLog struct {
	mu      sync.Mutex
	results []FaultResult
}

// runFaults injects each fault at its time until ctx ends.
func runFaults(ctx context.Context, client *http.Client, faults []Fault, start time.Time, log *faultLog) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, f := range faults {
		tasks.Go(func() {
			at := time.Duration(f.AtSeconds * float64(time.Second))
			if timing.Sleep(ctx, time.Until(start.Add(at))) {
				log.add(f.post(ctx, client, start))
			}
		})
	}
}

func (f Fault) post(ctx context.Context, client *http.Client, start time.Time) FaultResult {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	result := FaultResult{AtSeconds: time.Since(start).Seconds(), URL: f.URL}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL, bytes.NewReader(f.Body))
	if err != nil {
		result.Error = err.Error()
		return result
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(request)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	return result
}

func (l *faultLog) add(r FaultResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}
