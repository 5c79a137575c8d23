package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/era"
)

const testRetention = 30 * time.Second

// flush returns the rows that a router writes until none is pending.
func flush(t *testing.T, s *Streams, now time.Time) (rows []Row) {
	t.Helper()
	for {
		row, ok, err := s.Flush(now)
		assert.NilError(t, err)
		if !ok {
			return rows
		}
		rows = append(rows, row)
	}
}

// Guards against a stream whose version another router or process cannot find.
func TestRecordedStreamsAreFoundByOtherRouters(t *testing.T) {
	var rows []Row
	for _, incarnation := range []string{"1", "2"} {
		s := NewStreams("host", incarnation)
		for i := range 100 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			s.Begin(now, fmt.Sprintf("%s-%d", incarnation, i), ServiceVersion{"s", fmt.Sprint("v", i%2)}, true, testRetention)
			rows = append(rows, flush(t, s, now)...)
		}
	}
	stored := map[string]Row{}
	for _, row := range rows {
		stored[row.Key] = row
	}
	rows = nil
	for _, row := range stored {
		rows = append(rows, row)
	}
	assert.Assert(t, len(rows) < 20, "%d rows for 10 s of two processes", len(rows))
	recorded, err := DecodeStreams(rows)
	assert.NilError(t, err)
	for _, incarnation := range []string{"1", "2"} {
		for i := range 100 {
			at, ok := recorded.Origin(fmt.Sprintf("%s-%d", incarnation, i))
			assert.Assert(t, ok)
			assert.Equal(t, at, ServiceVersion{"s", fmt.Sprint("v", i%2)})
		}
	}
	_, ok := recorded.Origin("never seen")
	assert.Assert(t, !ok)
}

// Guards against streams that are not recorded because they began under one version.
func TestStreamsInProgressAreRecordedWhenASecondVersionComes(t *testing.T) {
	s := NewStreams("host", "1")
	s.Begin(start, "running", ServiceVersion{"s", "v1"}, false, testRetention)
	s.Begin(start, "ended", ServiceVersion{"s", "v1"}, false, testRetention)
	s.Begin(start, "elsewhere", ServiceVersion{"other", "v1"}, false, testRetention)
	s.End("ended")
	assert.Equal(t, len(flush(t, s, start)), 0)
	s.RecordAll("s")
	recorded, err := DecodeStreams(flush(t, s, start))
	assert.NilError(t, err)
	assert.Equal(t, len(recorded.origins), 1)
	at, ok := recorded.Origin("running")
	assert.Assert(t, ok && at == ServiceVersion{"s", "v1"}, "%v", at)
	s.RecordAll("s")
	assert.Equal(t, len(flush(t, s, start)), 0, "it is recorded already")
}

// Guards against streams that are forgotten too soon or never.
func TestStreamsAreRememberedForTheRetention(t *testing.T) {
	s := NewStreams("host", "1")
	s.Begin(start, "first", ServiceVersion{"s", "v1"}, false, testRetention)
	for at := time.Second; at < testRetention; at += time.Second {
		s.Begin(start.Add(at), fmt.Sprint(at), ServiceVersion{"s", "v2"}, false, testRetention)
	}
	at, ok := s.Origin("first")
	assert.Assert(t, ok && at == ServiceVersion{"s", "v1"}, "%v", at)
	s.Begin(start.Add(2*testRetention), "a", ServiceVersion{"s", "v2"}, false, testRetention)
	s.Begin(start.Add(4*testRetention), "b", ServiceVersion{"s", "v2"}, false, testRetention)
	_, ok = s.Origin("first")
	assert.Assert(t, !ok)
}

// Guards against records that are lost because one row cannot be decoded.
func TestUnreadableRecordsAreSkipped(t *testing.T) {
	s := NewStreams("host", "1")
	s.Begin(start, "id", ServiceVersion{"s", "v1"}, true, testRetention)
	recorded, err := DecodeStreams(append([]Row{{Key: "streams/x", Value: []byte("rubbish")}}, flush(t, s, start)...))
	assert.ErrorContains(t, err, "streams/x")
	_, ok := recorded.Origin("id")
	assert.Assert(t, ok)
}

// Guards against a version that counts as the only one too soon, and one that stays for ever.
func TestVersionsExpireAfterTheRetention(t *testing.T) {
	s := NewState("host")
	v1, v2 := ServiceVersion{"s", "v1"}, ServiceVersion{"s", "v2"}
	_, err := s.Apply(start, Changes{Complete: true, Rows: []Row{{Key: v1.Key(), Value: []byte("{}")}, {Key: v2.Key(), Value: []byte("{}")}}})
	assert.NilError(t, err)
	assert.Assert(t, s.Active())
	assert.DeepEqual(t, slices.Sorted(slices.Values(s.Versions("s"))), []string{"v1", "v2"})
	inUse := func(v ServiceVersion) bool { return v == v2 }
	assert.Equal(t, len(s.ExpiredVersions(start, inUse, testRetention)), 0)
	assert.Equal(t, len(s.ExpiredVersions(start.Add(testRetention-1), inUse, testRetention)), 0)
	assert.DeepEqual(t, s.ExpiredVersions(start.Add(testRetention), inUse, testRetention), []ServiceVersion{v1})
	_, err = s.Apply(start, Changes{Rows: []Row{{Key: v1.Key(), Removed: true}}})
	assert.NilError(t, err)
	assert.Assert(t, !s.Active())
}

// Guards against the row of a version that another router is about to remove and that
// counts as written when the version serves again.
func TestRowOfAReturningVersionIsWrittenAgain(t *testing.T) {
	s := NewState("self")
	v1 := ServiceVersion{"s", "v1"}
	_, err := s.Apply(start, Changes{Complete: true, Rows: []Row{{Key: v1.Key(), Value: []byte("{}")}}})
	assert.NilError(t, err)
	s.ForgetUnusedVersion(v1)
	assert.Assert(t, s.KnowsVersion(v1), "in use all the time")
	unused := func(ServiceVersion) bool { return false }
	s.ExpiredVersions(start, unused, testRetention)
	s.ForgetUnusedVersion(v1)
	assert.Assert(t, !s.KnowsVersion(v1))
	assert.NilError(t, s.RecordWritten(Row{Key: v1.Key(), Value: []byte("{}"), Version: era.Version{Number: 5}}))
	assert.Assert(t, s.KnowsVersion(v1))
	assert.Equal(t, len(s.ExpiredVersions(start.Add(testRetention), unused, testRetention)), 0, "unused from now on only")
}

// Guards against versions that a restore of the table has lost: the rows count as complete
// again once all streams that began before it have ended.
func TestOnlyVersionAfterARestore(t *testing.T) {
	v1, v2 := ServiceVersion{"s", "v1"}, ServiceVersion{"s", "v2"}
	asOf := era.Version{Number: 8}
	row := func(v ServiceVersion, inEra int64, value string) Row {
		return Row{Key: v.Key(), Value: []byte(value), Version: era.Version{Era: inEra, Number: asOf.Number}}
	}
	for _, c := range []struct {
		rows []Row
		only bool
	}{
		{nil, false},
		{[]Row{row(v1, 0, "{}")}, true}, // a table without eras
		{[]Row{row(v1, 1, "{}")}, true}, // never restored
		{[]Row{row(v1, 1, "{}"), row(v2, 1, "{}")}, false},
		{[]Row{row(v1, 2, "{}")}, false},
		{[]Row{row(v1, 2, `{"settled_era":2}`)}, true},
		{[]Row{row(v1, 3, `{"settled_era":2}`)}, false},
		{[]Row{row(v1, 1, "x")}, false},
	} {
		_, only := OnlyVersion("s", c.rows)
		assert.Equal(t, only, c.only, "%v", c.rows)
	}

	s := NewState("self")
	inUse := func(v ServiceVersion) bool { return v == v1 }
	apply := func(at time.Duration, era int64, value string) {
		asOf.Era, asOf.Number = era, asOf.Number+1
		_, err := s.Apply(start.Add(at), Changes{Version: asOf, Complete: true, Rows: []Row{row(v1, era, value), row(v2, era, value)}})
		assert.NilError(t, err)
	}
	unsettled := func(at time.Duration) []ServiceVersion {
		versions, settledEra := s.UnsettledVersions(start.Add(at), inUse, testRetention)
		assert.Equal(t, settledEra, s.era)
		return versions
	}
	apply(0, 1, "{}")
	assert.Equal(t, len(unsettled(testRetention)), 0, "never restored")
	apply(time.Second, 2, "{}")
	assert.Equal(t, len(unsettled(testRetention)), 0, "streams from before the restore may be in progress")
	assert.DeepEqual(t, unsettled(testRetention+time.Second), []ServiceVersion{v1})
	apply(testRetention+time.Second, 2, `{"settled_era":2}`)
	assert.Equal(t, len(unsettled(2*testRetention)), 0)
}

// Guards against a memory of streams that grows with the ids of callers, or their number.
func TestStreamsAreBounded(t *testing.T) {
	s := NewStreams("host", "1")
	now := time.Unix(1000, 0)
	for i := range 3 * maxStreams {
		s.Begin(now, strconv.Itoa(i), ServiceVersion{Service: "llm", Version: "v1"}, false, time.Hour)
	}
	assert.Assert(t, len(s.recent)+len(s.older) <= 2*maxStreams)
	_, ok := s.Origin(strconv.Itoa(3*maxStreams - 1))
	assert.Assert(t, ok)
}
