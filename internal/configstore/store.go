// Package configstore reads, polls and changes the configuration in the
// platform's table. The configuration has one linear history: each change
// raises the version by one under compare-and-set.
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
	defaultPoll    = time.Second
	refreshTimeout = 5 * time.Second // a slow table must not stall the poll for longer
	maxGap         = 200             // versions; a longer gap is read by a rescan of the teams
)

// Options configure a Store.
type Options struct {
	Table        platform.Table
	PollInterval time.Duration // interval of reads of config/head; default 1 s
	Logger       *slog.Logger  // default slog.Default()
	Clock        func() time.Time
	// Operators are written into version 1 if the table is empty.
	Operators []policy.Operator
}

// Store holds the highest configuration seen. It is safe for concurrent use.
type Store struct {
	table     platform.Table
	poll      time.Duration
	log       *slog.Logger
	clock     func() time.Time
	operators []policy.Operator

	doc   atomic.Pointer[policy.Document]
	teams atomic.Pointer[teamIndex]

	notifyMu  sync.Mutex // orders document changes and their callbacks
	callbacks []func(*policy.Document)
	teamsMu   sync.Mutex    // serializes writers of teams
	refreshes chan struct{} // holds one token; its owner may refresh
	wake      chan struct{}
	missMu    sync.Mutex
	lastMiss  time.Time
}

// New returns a Store. Run must be called for it to follow the table.
func New(o Options) *Store {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPoll
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	s := &Store{
		table: o.Table, poll: o.PollInterval, log: o.Logger, clock: o.Clock, operators: o.Operators,
		refreshes: make(chan struct{}, 1),
		wake:      make(chan struct{}, 1),
	}
	s.refreshes <- struct{}{}
	s.teams.Store(newTeamIndex(0, nil))
	return s
}

// Run follows the table until ctx ends. It creates version 1 if the table has
// no configuration. Failures of the table are logged and retried.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.poll)
	defer ticker.Stop()
	failing := false
	for {
		err := s.Refresh(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if (err != nil) != failing {
			failing = err != nil
			s.logState(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

func (s *Store) logState(err error) {
	if err != nil {
		s.log.Warn("config_poll_failing", "version", s.Version(), "error", err)
		return
	}
	s.log.Info("config_poll_ok", "version", s.Version())
}

// Ready reports whether both a document and the teams are known.
func (s *Store) Ready() bool {
	return s.doc.Load() != nil && s.teams.Load().version > 0
}

// Current returns the document of the highest version seen, nil before the
// first. The caller must not modify it.
func (s *Store) Current() *policy.Document { return s.doc.Load() }

// Version returns the version of Current, 0 before the first.
func (s *Store) Version() int64 {
	if d := s.doc.Load(); d != nil {
		return d.Version
	}
	return 0
}

// Adopt takes over a document that another process has sent and reports
// whether it is newer than the known one. The teams follow by a poll.
func (s *Store) Adopt(doc policy.Document) bool {
	clone := doc.Clone()
	if !s.advance(&clone) {
		return false
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// OnChange registers a callback for each newer document. Callbacks run one at
// a time in version order and must not call Adopt or Change.
func (s *Store) OnChange(f func(*policy.Document)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.callbacks = append(s.callbacks, f)
}

// advance publishes a document if its version is higher than the known one.
func (s *Store) advance(doc *policy.Document) bool {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
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

// Refresh reads what has changed since the last read.
func (s *Store) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, max(refreshTimeout, s.poll))
	defer cancel()
	select {
	case <-s.refreshes:
		defer func() { s.refreshes <- struct{}{} }()
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PlatformUnavailable, "another refresh is in progress")
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
		doc, err := s.readDoc(ctx)
		if err != nil {
			return err
		}
		s.advance(&doc)
		version = max(version, doc.Version)
	}
	return s.refreshTeams(ctx, version)
}

// bootstrap creates version 1. Of several routers that start at once, one
// commits and the others read its rows.
func (s *Store) bootstrap(ctx context.Context) error {
	doc := policy.Default()
	doc.Operators = s.operators
	txn := changeTxn(headRow{}, doc, changeRow{
		ID: newChangeID(), Version: doc.Version, Operator: "bootstrap", AtUS: s.clock().UnixMicro(),
		Keys: []string{keyDoc},
	}, nil)
	res, err := s.table.Commit(ctx, txn)
	if err != nil && !errkind.Is(err, errkind.PlatformUncertain) {
		return err
	}
	if res.Committed {
		s.log.Info("config_bootstrap", "version", doc.Version)
	}
	return nil
}
