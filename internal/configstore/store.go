// Package configstore stores the configuration in the platform's table, polls
// it for changes and commits new versions. The configuration has a single
// linear history: each change increments the version by one with a
// compare-and-set on config/head.
package configstore

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/platform"
)

const (
	defaultPollInterval = time.Second
	// A refresh times out after minRefreshTimeout or the poll interval, whichever is
	// longer, so that a slow table does not stall polling.
	minRefreshTimeout      = 5 * time.Second
	maxIncrementalVersions = 200 // a store further behind rescans all teams
)

// Options configure a Store.
type Options struct {
	Table        platform.Table
	PollInterval time.Duration    // how often config/head is read; default 1 s
	Logger       *slog.Logger     // default slog.Default()
	Clock        func() time.Time // default time.Now
	// Operators are written into version 1 if the table holds no configuration
	// yet.
	Operators []policy.Operator
}

// Store caches the highest configuration version that it has seen. It is safe
// for concurrent use.
type Store struct {
	table        platform.Table
	pollInterval time.Duration
	log          *slog.Logger
	clock        func() time.Time
	operators    []policy.Operator

	doc   atomic.Pointer[policy.Document]
	teams atomic.Pointer[teamIndex]

	publishMu             sync.Mutex // serializes the publication of documents and the calls of the callbacks
	callbacks             []func(*policy.Document)
	teamsMu               sync.Mutex    // serializes updates of teams
	refreshToken          chan struct{} // holds a single token; Refresh takes it, so that one refresh runs at a time
	pollNow               chan struct{} // makes Run poll at once
	unknownKeyMu          sync.Mutex    // guards lastUnknownKeyRefresh
	lastUnknownKeyRefresh time.Time     // when an unknown key last triggered a refresh
}

// New returns a Store without a configuration. Call Run to poll the table.
func New(o Options) *Store {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	s := &Store{
		table: o.Table, pollInterval: o.PollInterval, log: o.Logger, clock: o.Clock, operators: o.Operators,
		refreshToken: make(chan struct{}, 1),
		pollNow:      make(chan struct{}, 1),
	}
	s.refreshToken <- struct{}{}
	s.teams.Store(newTeamIndex(0, nil))
	return s
}

// Run polls the table until ctx is done. It creates version 1 if the table
// holds no configuration. If the table fails, Run keeps polling; it logs when
// polling starts to fail and when it recovers.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.pollInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := s.Refresh(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if (err != nil) != failing {
			failing = err != nil
			s.logPollState(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.pollNow:
		}
	}
}

func (s *Store) logPollState(err error) {
	if err != nil {
		s.log.Warn("config_poll_failing", "version", s.Version(), "error", err)
		return
	}
	s.log.Info("config_poll_ok", "version", s.Version())
}

// Ready reports whether the store has loaded both a document and the teams.
func (s *Store) Ready() bool {
	return s.doc.Load() != nil && s.teams.Load().version > 0
}

// Current returns the document with the highest version seen, or nil if none
// has been loaded. The caller must not modify it.
func (s *Store) Current() *policy.Document { return s.doc.Load() }

// Version returns the version of the current document, or 0 if none has been
// loaded.
func (s *Store) Version() int64 {
	if d := s.doc.Load(); d != nil {
		return d.Version
	}
	return 0
}

// Adopt publishes a document received from another process if it is newer than
// the current one, and reports whether it was. It also triggers a poll, which
// brings the teams up to the same version.
func (s *Store) Adopt(doc policy.Document) bool {
	clone := doc.Clone()
	if !s.publishIfNewer(&clone) {
		return false
	}
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
	return true
}

// OnChange registers a callback that is called with each newly published
// document. Callbacks run one at a time, in version order. They must not call
// Adopt or Change, which would deadlock.
func (s *Store) OnChange(f func(*policy.Document)) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.callbacks = append(s.callbacks, f)
}

// publishIfNewer publishes a document and calls the callbacks if its version is
// higher than that of the current document. It reports whether it has published
// the document.
func (s *Store) publishIfNewer(doc *policy.Document) bool {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	if doc.Version <= s.Version() {
		return false
	}
	s.doc.Store(doc)
	s.log.Info("config_version", "version", doc.Version, "preset", doc.ActivePreset)
	for _, f := range s.callbacks {
		f(doc)
	}
	return true
}

// Refresh reads the changes since the last refresh from the table.
func (s *Store) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, max(minRefreshTimeout, s.pollInterval))
	defer cancel()
	select {
	case <-s.refreshToken:
		defer func() { s.refreshToken <- struct{}{} }()
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PlatformUnavailable, "gave up waiting for another refresh to finish")
	}
	return s.refresh(ctx)
}

func (s *Store) refresh(ctx context.Context) error {
	head, err := s.readHead(ctx)
	if errkind.Is(err, errkind.NotFound) {
		if err := s.bootstrap(ctx); err != nil {
			return err
		}
		head, err = s.readHead(ctx)
	}
	if err != nil {
		return err
	}
	version := head.Version
	if version > s.Version() {
		doc, err := s.readDocument(ctx)
		if err != nil {
			return err
		}
		s.publishIfNewer(&doc)
		version = max(version, doc.Version)
	}
	return s.refreshTeams(ctx, version)
}

// bootstrap creates version 1. If several routers start at the same time, one
// of the commits succeeds and the other routers read the rows it wrote.
func (s *Store) bootstrap(ctx context.Context) error {
	doc := policy.Default()
	doc.Operators = s.operators
	txn := newChangeTxn(headRow{}, doc, changeRow{
		ID: newChangeID(), Version: doc.Version, Operator: "bootstrap", AtUS: s.clock().UnixMicro(),
		Keys: []string{documentRowKey},
	}, nil)
	result, err := s.table.Commit(ctx, txn)
	if err != nil && !errkind.Is(err, errkind.PlatformUncertain) {
		return err
	}
	if result.Committed {
		s.log.Info("config_bootstrap", "version", doc.Version)
	}
	return nil
}
