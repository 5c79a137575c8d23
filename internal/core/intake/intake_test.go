package intake

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func ago(d time.Duration) time.Time { return now.Add(-d) }

// Guards against a limit that large requests use up for small ones, or that a single large
// request meets.
func TestSmallRequestsHaveAShare(t *testing.T) {
	limits := Limits{Bytes: 40 << 20}
	for _, c := range []struct {
		name              string
		used, holds, more int64
		excess            int64
	}{
		{"large alone", 0, 4 << 20, 64 << 10, 0},
		{"large up to its share", 30<<20 - 64<<10, 4 << 20, 64 << 10, 0},
		{"large beyond its share", 30 << 20, 4 << 20, 64 << 10, 64 << 10},
		{"small beside large ones", 30 << 20, 1000, 3000, 0},
		{"small beyond all", 40 << 20, 1000, 3000, 3000},
		{"becomes large", 39 << 20, SmallBytes - 1000, 2000, 9<<20 + 2000},
	} {
		assert.Equal(t, limits.Excess(c.used, c.holds, c.more), c.excess, c.name)
	}
	assert.Equal(t, Limits{}.Excess(1<<40, 0, 1), int64(0))
}

// Guards against a crowd that keeps what it holds while others are refused, and against the
// close of a connection whose request may have been passed on.
func TestWhoHoldsMostForLongestIsClosed(t *testing.T) {
	const mb = 1 << 20
	whole := Holding{Whole, ago(time.Hour), 100 * mb, true}
	for _, c := range []struct {
		name     string
		holdings []Holding
		need     int64
		closed   []int
	}{
		{"nothing needed", []Holding{{Receiving, ago(time.Second), mb, false}}, 0, nil},
		{"whole requests stay", []Holding{whole, whole}, mb, nil},
		{"those that end do not end again", []Holding{{Ending, ago(time.Hour), 5 * mb, false}}, mb, nil},
		{"most, equally long", []Holding{{Receiving, ago(time.Second), mb, false}, {Receiving, ago(time.Second), 3 * mb, false}, whole}, mb, []int{1}},
		{"longest, equally much", []Holding{{Receiving, ago(time.Second), mb, false}, {Receiving, ago(2 * time.Second), mb, false}}, mb, []int{1}},
		{"little for long before much for a moment", []Holding{{Receiving, ago(10 * time.Millisecond), 4 * mb, false}, {Receiving, ago(9 * time.Second), mb / 8, false}}, 1000, []int{1}},
		{"as many as it takes", []Holding{{Receiving, ago(3 * time.Second), mb, false}, {Receiving, ago(2 * time.Second), mb, false}, {Receiving, ago(time.Second), mb, false}}, 2*mb - 1, []int{0, 1}},
		{"idle callers before much that comes in", []Holding{{Quiet, ago(time.Hour), ConnectionBytes, true}, {Receiving, ago(time.Millisecond), mb, false}}, 1000, []int{0}},
		{"those that do not read come last", []Holding{{Stalled, ago(time.Hour), 9 * mb, true}, {Quiet, ago(time.Millisecond), ConnectionBytes, false}}, mb, []int{1, 0}},
		{"not enough in all", []Holding{{Receiving, ago(time.Second), mb, false}, {Quiet, ago(time.Second), ConnectionBytes, false}, whole}, 2 * mb, nil},
	} {
		closed, ok := ForBytes(now, c.holdings, c.need)
		assert.DeepEqual(t, closed, c.closed)
		assert.Equal(t, ok, c.need == 0 || c.closed != nil, c.name)
	}
}

// Guards against silent connections that keep the descriptors, and against the close of an
// ordinary caller's connection in place of one of theirs.
func TestWhoHoldsADescriptorForLongestIsClosed(t *testing.T) {
	for _, c := range []struct {
		name     string
		holdings []Holding
		closed   int
		ok       bool
	}{
		{"nobody there", nil, 0, false},
		{"whole requests stay", []Holding{{Whole, ago(time.Hour), 0, true}, {Ending, ago(time.Hour), 0, true}}, 0, false},
		{"silent for longest", []Holding{{Quiet, ago(time.Second), 0, false}, {Quiet, ago(2 * time.Second), 0, false}}, 1, true},
		{"bytes do not matter", []Holding{{Receiving, ago(time.Second), 1 << 30, false}, {Quiet, ago(2 * time.Second), 0, false}}, 1, true},
		{"a caller that has been served has patience", []Holding{{Quiet, ago(6 * time.Second), 0, true}, {Quiet, ago(2 * time.Second), 0, false}}, 1, true},
		{"but not without end", []Holding{{Quiet, ago(time.Minute), 0, true}, {Quiet, ago(2 * time.Second), 0, false}}, 0, true},
		{"none while it sends a request", []Holding{{Receiving, ago(3 * time.Second), 0, true}, {Quiet, ago(2 * time.Second), 0, false}}, 0, true},
		{"those that do not read come last", []Holding{{Stalled, ago(time.Hour), 0, true}, {Quiet, ago(time.Millisecond), 0, true}}, 1, true},
		{"those that do not read, alone", []Holding{{Whole, ago(time.Hour), 0, true}, {Stalled, ago(time.Second), 0, true}}, 1, true},
	} {
		closed, ok := ForConnection(now, c.holdings)
		assert.Equal(t, ok, c.ok, c.name)
		assert.Equal(t, closed, c.closed, c.name)
	}
}

// Guards against a head that costs more than was counted, as its fields are small.
func TestSmallFieldsCostMoreThanTheirBytes(t *testing.T) {
	const bytes, lines, measured = 13_000, 1857, 230 << 10 // of one copy
	assert.Assert(t, RequestBytes(bytes, lines) >= headCopies*measured)
	assert.Assert(t, RequestBytes(400, 8) < 32<<10)
}

// Guards against a head that is passed on in parts, held back though it is whole, or counted
// wrongly.
func TestEndOfHead(t *testing.T) {
	for _, c := range []struct {
		name, text   string
		skip, end    int
		bytes, lines int64
	}{
		{"whole", "GET / HTTP/1.1\r\nA: b\r\n\r\nbody", 0, 24, 24, 3},
		{"plain newlines", "GET / HTTP/1.0\nA: b\n\n", 0, 21, 21, 3},
		{"mixed", "GET /\r\nA: b\n\r\n", 0, 14, 14, 3},
		{"part", "GET / HTTP/1.1\r\nA: b\r\n", 0, 0, 22, 2},
		{"empty lines first", "\r\n\r\n\nGET /\r\n\r\n", 5, 14, 9, 2},
		{"empty lines only", "\r\n\r\n", 4, 0, 0, 0},
		{"without its first byte", "ET / HTTP/1.1\r\n\r\n", 0, 17, 17, 2},
	} {
		for _, piece := range []int{1, 2, 3, len(c.text)} { // bytes that come in together
			var h Head
			skipped, end := 0, 0
			for at := 0; at < len(c.text) && end == 0; at += piece {
				skip, found := h.Scan([]byte(c.text[at:min(at+piece, len(c.text))]))
				skipped += skip
				if found > 0 {
					end = at + found
				}
			}
			assert.Equal(t, skipped, c.skip, c.name)
			assert.Equal(t, end, c.end, "%s in pieces of %d", c.name, piece)
			assert.Equal(t, h.Bytes, c.bytes, c.name)
			assert.Equal(t, h.Lines, c.lines, c.name)
		}
	}
}

// Guards against a head of many lines that is not found at once.
func TestLongHead(t *testing.T) {
	text := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000)
	var h Head
	_, end := h.Scan([]byte(text))
	assert.Equal(t, end, 0)
	assert.Assert(t, h.Began())
	_, end = h.Scan([]byte("\r\n"))
	assert.Equal(t, end, 2)
	assert.Equal(t, h.Lines, int64(3002))
}
