package fleet

import (
	"encoding/json"
	"iter"
	"maps"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/era"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// VersionPrefix is the key prefix of the rows of versions, followed by a service, a slash
// and a version of its targets.
const VersionPrefix = Prefix + "version/"

// VersionRow is the value of the row of a version.
type VersionRow struct {
	// SettledEra is the era of the table since whose start no stream can be in progress at
	// a version whose row a restore of the table has lost; 0 if that is not known.
	SettledEra int64 `json:"settled_era,omitempty"`
}

// VersionValue is the value of the row of a version when it is first written.
var VersionValue = []byte("{}")

// ServiceVersion is a software version of a service's targets.
type ServiceVersion struct{ Service, Version string }

// Key returns the key of the row that says that the version serves or served lately.
func (v ServiceVersion) Key() string { return VersionPrefix + v.String() }

// escapedSlash stands for a slash in the name of a service.
const escapedSlash = "%2F"

// String returns the service and the version, separated by a slash.
func (v ServiceVersion) String() string {
	return strings.ReplaceAll(v.Service, "/", escapedSlash) + "/" + v.Version
}

// MarshalText implements encoding.TextMarshaler.
func (v ServiceVersion) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *ServiceVersion) UnmarshalText(text []byte) error {
	var ok bool
	if v.Service, v.Version, ok = strings.Cut(string(text), "/"); !ok {
		return errkind.New(errkind.Internal, "%q has no service and version", text)
	}
	v.Service = strings.ReplaceAll(v.Service, escapedSlash, "/")
	return nil
}

// ParseVersionKey returns the version of which a row with the key tells.
func ParseVersionKey(key string) (v ServiceVersion, ok bool) {
	rest, ok := strings.CutPrefix(key, VersionPrefix)
	ok = ok && v.UnmarshalText([]byte(rest)) == nil
	return v, ok
}

// firstEra is the era of a table that was never restored. The eras of a table that reports
// none are 0.
const firstEra = 1

// OnlyVersion returns the version of a service of which alone there is a row, if the rows
// are certain to name all versions that serve or served lately.
func OnlyVersion(service string, rows []Row) (at ServiceVersion, ok bool) {
	for _, row := range rows {
		v, isVersion := ParseVersionKey(row.Key)
		if !isVersion || v.Service != service {
			continue
		}
		if at != (ServiceVersion{}) {
			return ServiceVersion{}, false
		}
		var value VersionRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return ServiceVersion{}, false
		}
		at, ok = v, row.Version.Era <= firstEra || value.SettledEra == row.Version.Era
	}
	return at, ok
}

// UnsettledVersions returns the versions in use whose rows are to be written again, with
// the returned value, because the rows have been complete for the retention since the
// table was restored.
func (s *State) UnsettledVersions(now time.Time, inUse func(ServiceVersion) bool, retention time.Duration) (versions []ServiceVersion, value VersionRow) {
	value = VersionRow{SettledEra: s.era}
	if s.era <= firstEra || now.Sub(s.eraSince) < retention {
		return nil, value
	}
	for v, row := range s.versions {
		if row.settledEra != s.era && inUse(v) {
			versions = append(versions, v)
		}
	}
	return versions, value
}

// Versions returns the versions of a service that serve or served lately according to
// any router.
func (s *State) Versions(service string) (versions []string) {
	for v := range s.versions {
		if v.Service == service {
			versions = append(versions, v.Version)
		}
	}
	return versions
}

// KnowsVersion reports whether the row of a version is there.
func (s *State) KnowsVersion(v ServiceVersion) bool {
	_, ok := s.versions[v]
	return ok
}

// RecordWritten records the row of a version that this router has written.
func (s *State) RecordWritten(key string, row era.Version) {
	s.fold.Written(key, row)
	if v, ok := ParseVersionKey(key); ok {
		s.versions[v] = versionRow{version: row}
	}
}

// versionRow is the row of a software version.
type versionRow struct {
	version    era.Version
	settledEra int64
}

func (s *State) applyVersion(v ServiceVersion, row Row) error {
	var value VersionRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return err
	}
	s.versions[v] = versionRow{row.Version, value.SettledEra}
	return nil
}

// ForgetUnusedVersion forgets the row of a version that comes into use again, because the
// row may be removed just now. It has to be written again.
func (s *State) ForgetUnusedVersion(v ServiceVersion) {
	if _, unused := s.unusedVersions[v]; unused {
		delete(s.versions, v)
		delete(s.unusedVersions, v)
	}
}

// RowOfVersion returns the version of the row of a software version.
func (s *State) RowOfVersion(v ServiceVersion) era.Version { return s.versions[v].version }

// ExpiredVersions returns the versions that have not been in use, as this router sees
// it, for at least retention.
func (s *State) ExpiredVersions(now time.Time, inUse func(ServiceVersion) bool, retention time.Duration) []ServiceVersion {
	return expired(s.unusedVersions, maps.Keys(s.versions), now, inUse, retention)
}

// ExpiredLimits returns the targets with a limit that have not been in use, as this
// router sees it, for at least retention.
func (s *State) ExpiredLimits(now time.Time, inUse func(target string) bool, retention time.Duration) []string {
	return expired(s.unusedLimits, maps.Keys(s.limits), now, inUse, retention)
}

// ExpiredDraining returns the targets with a row about their stop that have not been in
// use, as this router sees it, for at least retention.
func (s *State) ExpiredDraining(now time.Time, inUse func(target string) bool, retention time.Duration) []string {
	return expired(s.unusedDraining, maps.Keys(s.draining), now, inUse, retention)
}

// expired returns the keys that have not been in use for at least retention. since holds
// from when on each of them was not, and is brought up to date.
func expired[K comparable](since map[K]time.Time, keys iter.Seq[K], now time.Time, inUse func(K) bool, retention time.Duration) (out []K) {
	present := map[K]bool{}
	for key := range keys {
		if inUse(key) {
			continue
		}
		present[key] = true
		if _, ok := since[key]; !ok {
			since[key] = now
		}
		if now.Sub(since[key]) >= retention {
			out = append(out, key)
		}
	}
	maps.DeleteFunc(since, func(key K, _ time.Time) bool { return !present[key] })
	return out
}

// severalVersions reports whether targets of several versions of a service serve or
// served lately.
func (s *State) severalVersions() bool {
	services := map[string]bool{}
	for v := range s.versions {
		if services[v.Service] {
			return true
		}
		services[v.Service] = true
	}
	return false
}
