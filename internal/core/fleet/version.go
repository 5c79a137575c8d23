package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// versionPrefix is followed by a service, a slash and a version of its targets.
const versionPrefix = Prefix + "version/"

// VersionValue is the value of the row of a version. Only its presence matters.
var VersionValue = []byte("{}")

// ServiceVersion is a software version of a service's targets.
type ServiceVersion struct{ Service, Version string }

// Key returns the key of the row that says that the version serves or served lately.
func (v ServiceVersion) Key() string { return versionPrefix + v.Service + "/" + v.Version }

func parseVersionKey(key string) (v ServiceVersion, ok bool) {
	rest, ok := strings.CutPrefix(key, versionPrefix)
	if !ok {
		return ServiceVersion{}, false
	}
	v.Service, v.Version, ok = strings.Cut(rest, "/")
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
