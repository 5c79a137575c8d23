package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// HashKey returns the SHA-256 digest of a key in hexadecimal. Keys are stored
// only in this form.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MayUse reports whether the team may use the model under the workload. An empty
// list of models or workloads permits all.
func (t Team) MayUse(workload, model string) bool {
	return t.MayUseWorkload(workload) && t.PermitsModel(model)
}

// PermitsModel reports whether the team's list of models permits the model.
func (t Team) PermitsModel(model string) bool { return emptyOrContains(t.Models, model) }

// MayUseWorkload reports whether the team is enabled and may use its budget for
// the workload.
func (t Team) MayUseWorkload(workload string) bool {
	return !t.Disabled && emptyOrContains(t.Workloads, workload)
}

// PermitsModel reports whether the workload may use the model.
func (w Workload) PermitsModel(model string) bool { return emptyOrContains(w.Models, model) }

// PermitsService reports whether the workload may call the service.
func (w Workload) PermitsService(service string) bool { return emptyOrContains(w.Services, service) }

func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// OperatorByKey returns the name of the operator whose key has the given digest.
func (d *Document) OperatorByKey(keySHA256 string) (string, bool) {
	for _, op := range d.Operators {
		if op.KeySHA256 == keySHA256 {
			return op.Name, true
		}
	}
	return "", false
}

// Clone returns a deep copy of the document.
func (d *Document) Clone() Document { return cloneJSON(*d) }

// Clone returns a deep copy of the team.
func (t Team) Clone() Team { return cloneJSON(t) }

// cloneJSON copies a value by encoding it to JSON and decoding the result. This
// cannot fail, because all types of this package can be represented in JSON.
func cloneJSON[T any](v T) T {
	var out T
	data, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

// Idempotent reports whether a call of the service may be repeated after a
// failure. A call that the service does not list is idempotent only if its method
// is GET or HEAD, which HTTP defines as safe.
func (s Service) Idempotent(method, path string) bool {
	for _, c := range s.Calls {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return c.Idempotent
		}
	}
	return method == "GET" || method == "HEAD"
}
