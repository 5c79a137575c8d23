// Package rowkey makes names fit into keys of the platform's table. Operators and targets
// choose names of services, versions, teams and targets; the table bounds its keys.
package rowkey

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode/utf8"
)

// MaxBytes is the most bytes of a key.
const MaxBytes = 200

const (
	hashMark  = "~"
	hashBytes = 16
	// hashedBytes is the least bound of Name: a mark and a hash in hexadecimal.
	hashedBytes = len(hashMark) + 2*hashBytes
)

// Name returns what stands for a name in keys: the name itself if it is text of at most that
// many bytes, and otherwise its beginning and its hash. A name that Name has returned stands
// for itself. maxBytes is hashedBytes at least.
func Name(name string, maxBytes int) string {
	if len(name) <= maxBytes && utf8.ValidString(name) {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	beginning := name[:min(len(name), maxBytes-hashedBytes)]
	for len(beginning) > 0 && !utf8.ValidString(beginning) {
		beginning = beginning[:len(beginning)-1]
	}
	return beginning + hashMark + hex.EncodeToString(sum[:hashBytes])
}

// Hashed reports whether a name may be one that Name has shortened.
func Hashed(name string) bool {
	if len(name) < hashedBytes {
		return false
	}
	hash, marked := strings.CutPrefix(name[len(name)-hashedBytes:], hashMark)
	_, err := hex.DecodeString(hash)
	return marked && err == nil
}
