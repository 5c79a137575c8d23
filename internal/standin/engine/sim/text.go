package sim

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var echoPattern = regexp.MustCompile(`echo:([A-Za-z0-9_]+)`)

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// BlockHashes returns one hash per full block of the prompt. Each hash covers
// the block and everything before it: xxhash64 of the previous hash (8 bytes,
// little endian, 0 for the first) followed by the 64 bytes of the block.
func BlockHashes(prompt string) []uint64 {
	const size = BlockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/size)
	var previous uint64
	for ; len(prompt) >= size; prompt = prompt[size:] {
		previous = mix(previous, prompt[:size])
		hashes = append(hashes, previous)
	}
	return hashes
}

func mix(previous uint64, text string) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Output is the deterministic answer to a prompt under a seed.
type Output struct {
	echo    string
	content uint64 // hash of seed and prompt
}

// NewOutput returns the answer to a prompt. The seed is the engine's seed mixed
// with the request's own.
func NewOutput(seed uint64, prompt string) Output {
	out := Output{content: mix(seed, prompt)}
	matches := echoPattern.FindAllStringSubmatch(prompt, -1)
	if len(matches) > 0 {
		out.echo = matches[len(matches)-1][1]
	}
	return out
}

// TokenText returns the text of the token at index i, from 0: `<word>-<i> ` after
// the last `echo:<word>` of the prompt, else `t` with eight hex digits.
func (o Output) TokenText(i int) string {
	if o.echo != "" {
		return EchoToken(o.echo, i)
	}
	hash := mix(o.content, strconv.Itoa(i))
	digits := strconv.FormatUint(hash>>32, 16)
	return "t" + strings.Repeat("0", 8-len(digits)) + digits + " "
}

// EchoToken returns the token at index i of an answer to `echo:<word>`.
func EchoToken(word string, i int) string {
	return word + "-" + strconv.Itoa(i) + " "
}

// NaturalLength returns the natural number of output tokens, between min and max.
func (o Output) NaturalLength(min, max int) int {
	span := uint64(max - min + 1)
	return min + int(mix(o.content, "length")%span)
}

// Text returns the first n tokens.
func (o Output) Text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(o.TokenText(i))
	}
	return b.String()
}
