package fleet

import (
	"encoding/json"
	"iter"
	"maps"
	"regexp"
	"strings"
	"time"
	"unicode/utf8"

	"tarragonridge.example/tarragonridge/internal/core/era"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// VersionPrefix is the key prefix of the rows of versions, followed by a service, a slash
// and a version of its targets. If they are too long for a key, their beginnings and hashes
// stand for them, and the value of the row has the names.
const VersionPrefix = Prefix + "version/"

// maxVersionNameBytes bounds the names of a service and of a version in a key if both do not
// fit as they are.
const maxVersionNameBytes = (rowkey.MaxBytes - len(VersionPrefix) - len("/")) / 2

// VersionRow is the value of the row of a version.
type VersionRow struct {
	// SettledEra is the era of the table since whose start no stream can be in progress at
	// a version whose row a restore of the table has lost; 0 if that is not known.
	SettledEra int64 `json:"settled_era,omitempty"`
	// Service and Version are set if the key does not have them.
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
}

// ServiceVersion is a software version of a service's targets.
type ServiceVersion struct{ Service, Version string }

// Key returns the key of the row that says that the version serves or served lately.
func (v ServiceVersion) Key() string {
	if v.fitsKey() {
		return VersionPrefix + v.String()
	}
	return VersionPrefix + rowkey.Name(escapeSlashes(v.Service), maxVersionNameBytes) + "/" + rowkey.Name(v.Version, maxVersionNameBytes)
}

func (v ServiceVersion) fitsKey() bool {
	text := v.String()
	return len(VersionPrefix)+len(text) <= rowkey.MaxBytes && utf8.ValidString(text)
}

// Row returns the value of the version's row with what it says of restores.
func (v ServiceVersion) Row(settledEra int64) VersionRow {
	row := VersionRow{SettledEra: settledEra}
	if !v.fitsKey() {
		row.Service, row.Version = v.Service, v.Version
	}
	return row
}

// A slash in the name of a service is written as %2F, and the text %2F, which may be part of a
// name, as %252F, and so on.
var (
	slashPattern   = regexp.MustCompile(`/|%(25)*2F`)
	escapedPattern = regexp.MustCompile(`%(25)*2F`)
)

const escapedSlash = "%2F"

func escapeSlashes(service string) string {
	if !strings.ContainsAny(service, "/%") {
		return service
	}
	return slashPattern.ReplaceAllStringFunc(service, func(found string) string {
		if found == "/" {
			return escapedSlash
		}
		return "%25" + found[len("%"):]
	})
}

func unescapeSlashes(text string) string {
	return escapedPattern.ReplaceAllStringFunc(text, func(found string) string {
		if found == escapedSlash {
			return "/"
		}
		return "%" + found[len("%25"):]
	})
}

// String returns the service and the version, separated by a slash.
func (v ServiceVersion) String() string { return escapeSlashes(v.Service) + "/" + v.Version }

// MarshalText implements encoding.TextMarshaler.
func (v ServiceVersion) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *ServiceVersion) UnmarshalText(text []byte) error {
	var ok bool
	if v.Service, v.Version, ok = strings.Cut(string(text), "/"); !ok {
		return errkind.New(errkind.Internal, "%q has no service and version", text)
	}
	v.Service = unescapeSlashes(v.Service)
	return nil
}

// decodeVersion decodes the row of a version. ok is false for any other row.
func decodeVersion(row Row) (v ServiceVersion, value VersionRow, ok bool, err error) {
	text, ok := strings.CutPrefix(row.Key, VersionPrefix)
	if !ok || v.UnmarshalText([]byte(text)) != nil {
		return v, value, false, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return v, value, true, err
	}
	if value.Service != "" {
		v = ServiceVersion{Service: value.Service, Version: value.Version}
	}
	if v.Key() != row.Key {
		return v, value, true, errkind.New(errkind.Internal, "the row %s names another version", row.Key)
	}
	return v, value, true, nil
}

// firstEra is the era of a table that was never restored. The eras of a table that reports
// none are 0.
const firstEra = 1

// OnlyVersion returns the version of a service of which alone there is a row, if the rows
// are certain to name all versions that serve or served lately.
func OnlyVersion(service string, rows []Row) (at ServiceVersion, ok bool) {
	for _, row := range rows {
		v, value, isVersion, err := decodeVersion(row)
		switch {
		case !isVersion, err == nil && v.Service != service, err != nil && !mayNameService(row.Key, service):
			continue
		case err != nil || at != (ServiceVersion{}):
			return ServiceVersion{}, false
		}
		at, ok = v, row.Version.Era <= firstEra || value.SettledEra == row.Version.Era
	}
	return at, ok
}

// mayNameService reports whether the key of a row that cannot be decoded may be that of a
// version of a service.
func mayNameService(key, service string) bool {
	name := escapeSlashes(service)
	return strings.HasPrefix(key, VersionPrefix+name+"/") || strings.HasPrefix(key, VersionPrefix+rowkey.Name(name, maxVersionNameBytes)+"/")
}

// UnsettledVersions returns the versions in use whose rows are to be written again for the
// returned era, because the rows have been complete for the retention since the table was
// restored.
func (s *State) UnsettledVersions(now time.Time, inUse func(ServiceVersion) bool, retention time.Duration) (versions []ServiceVersion, settledEra int64) {
	if s.era <= firstEra || now.Sub(s.eraSince) < retention {
		return nil, s.era
	}
	for v, row := range s.versions {
		if row.settledEra != s.era && inUse(v) {
			versions = append(versions, v)
		}
	}
	return versions, s.era
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

// RecordWritten records a row that this router has written.
func (s *State) RecordWritten(row Row) error {
	s.fold.Written(row.Key, row.Version)
	return s.applyVersion(row)
}

// versionRow is the row of a software version.
type versionRow struct {
	version    era.Version
	settledEra int64
}

// applyVersion applies a row that was written if it is that of a version.
func (s *State) applyVersion(row Row) error {
	v, value, ok, err := decodeVersion(row)
	if ok && err == nil {
		s.versions[v] = versionRow{row.Version, value.SettledEra}
	}
	return err
}

// removeVersion forgets the version whose row has a key, if it is that of one.
func (s *State) removeVersion(key string) {
	if strings.HasPrefix(key, VersionPrefix) {
		maps.DeleteFunc(s.versions, func(v ServiceVersion, _ versionRow) bool { return v.Key() == key })
	}
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
