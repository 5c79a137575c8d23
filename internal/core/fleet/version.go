package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// versionPrefix is followed by a service, a slash and a version of its targets.
const versionPrefix = Prefix + "version/"

// VersionValue is the value of the row of a version. Only its presence matters.
var VersionValue = []byte("{}")

// ServiceVersion is a software version of a service's targets.
type ServiceVersion struct{ Service, Version string }

// Key returns the key of the row that says that the version serves or served lately.
func (v ServiceVersion) Key() string { return versionPrefix + v.String() }

// String returns the service and the version, separated by a slash.
func (v ServiceVersion) String() string { return v.Service + "/" + v.Version }

// MarshalText implements encoding.TextMarshaler.
func (v ServiceVersion) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *ServiceVersion) UnmarshalText(text []byte) error {
	var ok bool
	if v.Service, v.Version, ok = strings.Cut(string(text), "/"); !ok {
		return errkind.New(errkind.Internal, "%q has no service and version", text)
	}
	return nil
}

func parseVersionKey(key string) (v ServiceVersion, ok bool) {
	rest, ok := strings.CutPrefix(key, versionPrefix)
	ok = ok && v.UnmarshalText([]byte(rest)) == nil
	return v, ok
}

// Versions returns the versions of a service that serve or served lately according to
// any router, in order.
func (s *State) Versions(service string) (versions []string) {
	for v := range s.versions {
		if v.Service == service {
			versions = append(versions, v.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// KnowsVersion reports whether the row of a version is there.
func (s *State) KnowsVersion(v ServiceVersion) bool { return s.versions[v] }

// ExpiredVersions returns the versions that have not been in use, as this router sees
// it, for at least retention.
func (s *State) ExpiredVersions(now time.Time, inUse func(ServiceVersion) bool, retention time.Duration) (expired []ServiceVersion) {
	for v := range s.versions {
		if inUse(v) {
			delete(s.unusedSince, v)
			continue
		}
		if _, ok := s.unusedSince[v]; !ok {
			s.unusedSince[v] = now
		}
		if now.Sub(s.unusedSince[v]) >= retention {
			expired = append(expired, v)
		}
	}
	maps.DeleteFunc(s.unusedSince, func(v ServiceVersion, _ time.Time) bool { return !s.versions[v] })
	return expired
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
