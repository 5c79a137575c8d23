// Package placement carries what internal/core/placement decides on between gateways and
// the relays beside the engines, as datagrams. A datagram may be lost, repeated or
// forged: at worst a prompt is read at another engine than the best one.
package placement

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/placement"
)

// protocolVersion is the version of the messages. Messages of another one are dropped.
// Processes of different age run side by side: a field that is added is optional, ignored
// by older processes, and means unknown if it is absent. A field that changes its meaning
// needs a new version.
const protocolVersion = 1

// Bounds of a message.
const (
	maxMessageBytes = 1 << 10
	maxParts        = 16
	maxTokens       = 1 << 30
	maxDuration     = time.Hour
)

// kind says what a message is about.
type kind uint8

const (
	kindQuery      kind = iota + 1 // asks for the load
	kindLoad                       // answers kindQuery
	kindBegin                      // a request is sent to the engine
	kindFirstEvent                 // the engine has read its prompt
	kindEnd                        // it has ended
)

// message is a datagram. Its fields have numbers, so that it stays small.
type message struct {
	Version uint8       `cbor:"1,keyasint"`
	Kind    kind        `cbor:"2,keyasint"`
	ID      uint64      `cbor:"3,keyasint"`           // of the request, or for a query and its answer, of the query
	Tokens  int64       `cbor:"4,keyasint,omitempty"` // of the prompt
	Parts   [][2]uint64 `cbor:"5,keyasint,omitempty"` // hash and tokens of the prompt's shared parts
	Waiting int64       `cbor:"6,keyasint,omitempty"`
	Cached  int64       `cbor:"7,keyasint,omitempty"`
	Running int         `cbor:"8,keyasint,omitempty"`
	Memory  int64       `cbor:"9,keyasint,omitempty"` // of the engine, in tokens

	Output int64         `cbor:"10,keyasint,omitempty"` // most tokens of the answer
	Held   int64         `cbor:"11,keyasint,omitempty"` // tokens of memory
	Wait   time.Duration `cbor:"12,keyasint,omitempty"`
	Read   time.Duration `cbor:"13,keyasint,omitempty"` // see placement.Pace
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxParts, MaxMapPairs: maxParts, MaxNestedLevels: 4, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func encode(m message) ([]byte, error) {
	m.Version = protocolVersion
	data, err := cbor.Marshal(m)
	if err == nil && len(data) > maxMessageBytes {
		err = errkind.New(errkind.Internal, "message of %d bytes", len(data))
	}
	return data, err
}

// decode decodes a datagram. It fails for one of another version, or with values that
// make no sense.
func decode(data []byte) (m message, err error) {
	if len(data) > maxMessageBytes {
		return message{}, errkind.New(errkind.InvalidRequest, "message of %d bytes", len(data))
	}
	if err := decoding.Unmarshal(data, &m); err != nil {
		return message{}, errkind.Wrap(err, errkind.InvalidRequest, "message")
	}
	if m.Version != protocolVersion {
		return message{}, errkind.New(errkind.InvalidRequest, "message of version %d", m.Version)
	}
	inRange := func(tokens int64) bool { return tokens >= 0 && tokens <= maxTokens }
	valid := func(d time.Duration) bool { return d >= 0 && d <= maxDuration }
	if !inRange(m.Output) || !inRange(m.Held) || !valid(m.Wait) || !valid(m.Read) {
		return message{}, errkind.New(errkind.InvalidRequest, "message of kind %d with estimates out of range", m.Kind)
	}
	if m.Kind < kindQuery || m.Kind > kindEnd || !inRange(m.Tokens) || !inRange(m.Waiting) || !inRange(m.Cached) || !inRange(m.Memory) || m.Running < 0 || len(m.Parts) > maxParts {
		return message{}, errkind.New(errkind.InvalidRequest, "message of kind %d with values out of range", m.Kind)
	}
	before := uint64(0)
	for _, part := range m.Parts {
		if part[1] < before || part[1] > maxTokens {
			return message{}, errkind.New(errkind.InvalidRequest, "parts of a prompt out of order")
		}
		before = part[1]
	}
	return m, nil
}

// setPrompt adds a prompt, of which only the first parts are told if there are many. Callers
// state the tokens of the parts: what makes no sense must not have relays drop the message.
func (m *message) setPrompt(p placement.Prompt) {
	m.Tokens, m.Output = min(p.Tokens, maxTokens), min(p.Output, maxTokens)
	before := int64(0)
	for _, part := range p.Parts[:min(len(p.Parts), maxParts)] {
		before = min(max(part.Tokens, before), maxTokens)
		m.Parts = append(m.Parts, [2]uint64{part.Hash, uint64(before)})
	}
}

// setLoad adds the load of an engine.
func (m *message) setLoad(l placement.Load) {
	m.Waiting, m.Cached, m.Running = min(l.WaitingTokens, maxTokens), l.CachedTokens, l.Running
	m.Held, m.Memory = min(l.HeldTokens, maxTokens), l.MemoryTokens
	m.Wait, m.Read = min(l.Wait, maxDuration), min(l.Pace.Read, maxDuration)
}

func (m message) load() placement.Load {
	return placement.Load{
		WaitingTokens: m.Waiting, CachedTokens: m.Cached, Running: m.Running, HeldTokens: m.Held, MemoryTokens: m.Memory,
		Wait: m.Wait, Pace: placement.Pace{Read: m.Read},
	}
}

func (m message) prompt() placement.Prompt {
	p := placement.Prompt{Tokens: m.Tokens, Output: m.Output}
	for _, part := range m.Parts {
		p.Parts = append(p.Parts, placement.Part{Hash: part[0], Tokens: int64(part[1])})
	}
	return p
}
