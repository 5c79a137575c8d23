package httproute

import (
	"testing"

	"gotest.tools/v3/assert"
)

func document() *Config {
	d := &Config{
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "A.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/", Public: true},
		},
		Teams: map[string]Team{"t1": {Name: "t1"}},
		Keys:  map[string]string{"k1": "t1"},
	}
	d.Index()
	return d
}

// Guards against a request that reaches another route than the one with the
// longest prefix of its host.
func TestMatch(t *testing.T) {
	d := document()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := d.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

// Guards against a request without a key that runs for a team, and against an
// empty key that matches one.
func TestAuthenticate(t *testing.T) {
	d := document()
	private, public := d.Match("a.example", "/x/"), d.Match("b.example", "/")
	team, ok := d.Authenticate(private, "k1")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, "t1")
	_, ok = d.Authenticate(private, "")
	assert.Assert(t, !ok)
	_, ok = d.Authenticate(private, "k2")
	assert.Assert(t, !ok)
	team, ok = d.Authenticate(public, "k2")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, "")
	d.Teams = nil
	_, ok = d.Authenticate(private, "")
	assert.Assert(t, ok, "a document without teams needs no keys")
}

// Guards against weights that are ignored.
func TestPick(t *testing.T) {
	r := Route{Split: []WeightedService{{"a", 9}, {"b", 1}}}
	assert.Equal(t, r.PickService(0), "a")
	assert.Equal(t, r.PickService(0.89), "a")
	assert.Equal(t, r.PickService(0.91), "b")
	assert.Equal(t, r.PickService(1), "b")
}

// Guards against a repeat of what must not run twice.
func TestRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Idempotent}).Repeatable())
	assert.Assert(t, !(&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Streaming}).Repeatable())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}
