// Package sim is the model of a batching engine: continuous batching, a prefix
// cache in bounded memory, priorities and deterministic output. It does no I/O
// and reads no clock; the caller passes the time in.
package sim

import (
	"time"

	"github.com/rotisserie/eris"
)

// BlockTokens is the size of a cache block in tokens.
const BlockTokens = 16

// BytesPerToken is the size of a prompt token in bytes. A prompt of n bytes has
// ceil(n / BytesPerToken) tokens, thus never more than one per byte.
const BytesPerToken = 4

// MaxLoadLag bounds the history that the load report needs.
const MaxLoadLag = time.Minute

// Config sets the parameters of the model. DefaultConfig states the defaults.
type Config struct {
	Seed             uint64        // selects token texts, output lengths and dropped events
	MaxBatch         int           // sequences that run at once; default 32
	MaxWaiting       int           // sequences in the waiting queue; default 256
	CacheBlocks      int           // cache memory in blocks of 16 tokens; default 8192
	ContextTokens    int           // most prompt and output tokens of a sequence; default 32768
	StepBase         time.Duration // fixed part of a step; default 8 ms
	StepPerSequence  time.Duration // added per running sequence; default 150 µs
	PrefillPerToken  time.Duration // added per uncached prompt token; default 25 µs
	PrefillPerStep   int           // most prompt tokens computed in a step; default 512
	MinOutput        int           // shortest output in tokens, before max_tokens applies; default 8
	MaxOutput        int           // longest output in tokens, before max_tokens applies; default 256
	LoadLag          time.Duration // age of the load report; default 250 ms
	EventDelay       time.Duration // age at which a cache event becomes visible; default 500 ms
	EventDropRate    float64       // probability that a cache event is lost, 0 to 1; default 0.02
	EventHistory     int           // cache events kept; default 65536
	CrashMarker      string        // prompt text that crashes the engine; default "crash-me"; empty turns it off
	KVTransferBlocks int           // most blocks in one export or import; default 4096
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Seed:             1,
		MaxBatch:         32,
		MaxWaiting:       256,
		CacheBlocks:      8192,
		ContextTokens:    32768,
		StepBase:         8 * time.Millisecond,
		StepPerSequence:  150 * time.Microsecond,
		PrefillPerToken:  25 * time.Microsecond,
		PrefillPerStep:   512,
		MinOutput:        8,
		MaxOutput:        256,
		LoadLag:          250 * time.Millisecond,
		EventDelay:       500 * time.Millisecond,
		EventDropRate:    0.02,
		EventHistory:     65536,
		CrashMarker:      "crash-me",
		KVTransferBlocks: 4096,
	}
}

// Validate returns the first fault of the configuration.
func (c Config) Validate() error {
	checks := []struct {
		ok   bool
		text string
	}{
		{c.MaxBatch > 0, "max batch must be positive"},
		{c.MaxWaiting > 0, "max waiting must be positive"},
		{c.CacheBlocks > 0, "cache blocks must be positive"},
		{c.ContextTokens > 1, "context tokens must be at least 2"},
		{c.StepBase > 0, "step base must be positive"},
		{c.StepPerSequence >= 0, "step per sequence must not be negative"},
		{c.PrefillPerToken >= 0, "prefill per token must not be negative"},
		{c.PrefillPerStep > 0, "prefill per step must be positive"},
		{c.MinOutput > 0, "min output must be positive"},
		{c.MaxOutput >= c.MinOutput, "max output must be at least min output"},
		{c.LoadLag >= 0 && c.LoadLag <= MaxLoadLag, "load lag must be between 0 and 1m"},
		{c.EventDelay >= 0, "event delay must not be negative"},
		{c.EventDropRate >= 0 && c.EventDropRate <= 1, "event drop rate must be between 0 and 1"},
		{c.EventHistory > 0, "event history must be positive"},
		{c.KVTransferBlocks > 0, "kv transfer blocks must be positive"},
	}
	for _, check := range checks {
		if !check.ok {
			return eris.New(check.text)
		}
	}
	return nil
}
