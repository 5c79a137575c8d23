package sim

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var echoPattern = regexp.MustCompile(`echo:([A-Za-z0-9_]+)`)

// CountTokens returns the number of tokens in a prompt.
func CountTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// BlockHashes returns one hash per full block of the prompt. Each hash identifies
// the prompt up to the end of its block: it is the xxhash64 of the previous hash
// (8 bytes, little endian, 0 for the first block) followed by the 64 bytes of the
// block.
func BlockHashes(prompt string) []uint64 {
	const size = BlockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	var previous uint64
	for ; len(prompt) >= size; prompt = prompt[size:] {
		previous = chainHash(previous, prompt[:size])
		hashes = append(hashes, previous)
	}
	return hashes
}

func chainHash(previous uint64, text string) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], previous)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(text)
	return digest.Sum64()
}

// Output is the deterministic output for a prompt and a seed.
type Output struct {
	echoWord    string // from `echo:<word>` in the prompt, or empty
	contentHash uint64 // of seed and prompt
}

// NewOutput returns the output for a prompt. The seed is the engine's seed combined
// with that of the request.
func NewOutput(seed uint64, prompt string) Output {
	out := Output{contentHash: chainHash(seed, prompt)}
	matches := echoPattern.FindAllStringSubmatch(prompt, -1)
	if len(matches) > 0 {
		out.echoWord = matches[len(matches)-1][1]
	}
	return out
}

// TokenText returns the text of the token at index i, counted from 0: `<word>-<i> `
// if the prompt contains `echo:<word>` (the last one counts), else `t`, eight hex
// digits and a blank.
func (o Output) TokenText(i int) string {
	if o.echoWord != "" {
		return EchoToken(o.echoWord, i)
	}
	hash := chainHash(o.contentHash, strconv.Itoa(i))
	digits := strconv.FormatUint(hash>>32, 16)
	return "t" + strings.Repeat("0", 8-len(digits)) + digits + " "
}

// EchoToken returns the token at index i of the output for `echo:<word>`.
func EchoToken(word string, i int) string {
	return word + "-" + strconv.Itoa(i) + " "
}

// NaturalLength returns the number of tokens after which the output ends by
// itself, from min to max.
func (o Output) NaturalLength(min, max int) int {
	span := uint64(max - min + 1)
	return min + int(chainHash(o.contentHash, "length")%span)
}

// Text returns the text of the first n tokens.
func (o Output) Text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(o.TokenText(i))
	}
	return b.String()
}
