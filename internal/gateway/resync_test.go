package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// Guards against a view that differs from its table for good, whatever the cause: here the feed
// leaves a change out. And against a feed that is not read any more while reads of all rows fail.
func TestAllRowsAreReadAgain(t *testing.T) {
	for name, completeReadsFail := range map[string]bool{"read again": false, "complete reads fail": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newStartedGateway(time.Now)
				var complete, fed atomic.Int64
				read := func(ctx context.Context, after platform.Version, wait time.Duration) (TargetChanges, error) {
					if !after.IsZero() {
						fed.Add(1)
						time.Sleep(wait)
						return TargetChanges{Version: after}, nil
					}
					n := complete.Add(1)
					if n > 1 && completeReadsFail {
						time.Sleep(wait)
						return TargetChanges{}, errors.New("too slow")
					}
					changes := TargetChanges{Version: platform.Version{Number: n}, Complete: true}
					if n > 1 { // the feed has not told of it
						changes.Rows = append(changes.Rows, registered(targets.Registration{ID: "i", Service: "s", Address: "127.0.0.1:1"}))
					}
					return changes, nil
				}
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					watch(ctx, g, "targets", read, func(changes feed.Changes[Registered]) { g.applyTargets(changes) })
				}()
				time.Sleep(resyncInterval + 2*longPollWait)
				fedBefore := fed.Load()
				time.Sleep(time.Minute)
				assert.Equal(t, len(g.TargetIDs()) == 1, !completeReadsFail)
				assert.Assert(t, complete.Load() >= 2, "%d complete reads", complete.Load())
				assert.Assert(t, complete.Load() <= 3+int64((resyncInterval/2+time.Minute)/resyncRetry), "%d complete reads", complete.Load())
				assert.Assert(t, fed.Load()-fedBefore > 50, "%d reads of the feed in a minute", fed.Load()-fedBefore)
				stop()
				<-done
			})
		})
	}
}
