package sse

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against losing, repeating or cutting an event when a read of the stream
// ends within it, whatever ends its lines.
func TestAnyCutsGiveTheSameEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		n := rapid.IntRange(0, 20).Draw(t, "events")
		for i := range n {
			stream = fmt.Appendf(stream, "id: %d\ndata: %s\n\n", i, rapid.StringMatching(`[a-z.\n]{0,3}[a-z]{1,30}`).Draw(t, "data"))
		}
		tail := rapid.SampledFrom([]string{"", "id", "id: 7\ndata: x\n"}).Draw(t, "tail")
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		stream = bytes.ReplaceAll(append(stream, tail...), []byte("\n"), []byte(lineEnd))
		tail = strings.ReplaceAll(tail, "\n", lineEnd)
		s := NewSplitter(1 << 10)
		var got []byte
		var ids []int64
		for rest := stream; len(rest) > 0; {
			cut := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			complete, err := s.Add(rest[:cut])
			if err != nil {
				t.Fatal(err)
			}
			for event := range Events(complete) {
				got = append(got, event...)
				if id, ok := ID(event); ok {
					ids = append(ids, id)
				}
			}
			rest = rest[cut:]
		}
		assert.Equal(t, len(ids), n)
		if want := stream[:len(stream)-s.PendingBytes()]; !bytes.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
		if s.PendingBytes() != len(tail) {
			t.Fatalf("%d bytes pending, want %d", s.PendingBytes(), len(tail))
		}
	})
}

// Guards against losing a newline when more blank lines follow an event than its
// separator has.
func TestBlankLinesBetweenEvents(t *testing.T) {
	s := NewSplitter(1 << 10)
	var got []byte
	for _, read := range []string{"data: a\n\n\n", "data: b\n\n", "\n", "\r\n"} {
		complete, err := s.Add([]byte(read))
		assert.NilError(t, err)
		for event := range Events(complete) {
			got = append(got, event...)
		}
	}
	assert.Equal(t, string(got), "data: a\n\n\ndata: b\n\n\n\r\n")
	assert.Equal(t, s.PendingBytes(), 0)
}

// Guards against taking text in the data of an event as its id.
func TestID(t *testing.T) {
	id, ok := ID([]byte("id: 12\ndata: id: 9\n\n"))
	assert.Assert(t, ok)
	assert.Equal(t, id, int64(12))
	_, ok = ID([]byte("data: x\n\n"))
	assert.Assert(t, !ok)
	_, ok = ID([]byte("id: x\n\n"))
	assert.Assert(t, !ok)
}

// Guards against a target that exhausts the router's memory with one endless event.
func TestEventIsBounded(t *testing.T) {
	s := NewSplitter(10)
	_, err := s.Add([]byte("data: 0123456789"))
	assert.ErrorContains(t, err, "exceeds 10 bytes")
}

// Guards against text that is no event and is taken for a part of the stream, and against a
// proper stream that is refused: one with comments, and with fields that are not known.
func TestTextThatIsNoEvent(t *testing.T) {
	for text, proper := range map[string]bool{
		": ping\n\n":                             true,
		"\n\n":                                   true,
		"event\ndata\n\n":                        true,
		"weights-version: 3\nid: 1\ndata: x\n\n": true,
		"x_y.z:{\"a\": 1}\n\n":                   true,
		"data: no \"engine\": x/y\n\n":           true,
		"données: x\n\n":                         true,
		"HTTP/1.1 500 Oops\nX: y\n\n":            false,
		"no engine\n\n":                          false,
		"<html>\n\n":                             false,
		"{\"error\":1}\n\n":                      false,
		"id: 1\nno engine\ndata: x\n\n":          false,
		"\x00\n\n":                               false,
	} {
		const before = "id: 0\ndata: a\n\n"
		got, err := NewSplitter(1 << 10).Add([]byte(before + text))
		if proper {
			assert.NilError(t, err, "%q", text)
			assert.Equal(t, string(got), before+text)
			continue
		}
		assert.ErrorContains(t, err, "no event", "%q", text)
		assert.Equal(t, string(got), before)
	}
}

// Guards against an event that waits for the next one: the CR that ends it may be the start of
// CRLF.
func TestEventIsCompleteWithItsCR(t *testing.T) {
	s := NewSplitter(1 << 10)
	for _, read := range []string{"data: a\r\n\r", "\n", "data: b\r\r"} {
		complete, err := s.Add([]byte(read))
		assert.NilError(t, err)
		assert.Equal(t, string(complete), read)
		assert.Equal(t, s.PendingBytes(), 0)
	}
}
