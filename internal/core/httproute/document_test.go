package httproute

import (
	"testing"

	"gotest.tools/v3/assert"
)

func config() *Config {
	c := &Config{
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "A.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/", Public: true},
		},
		Teams: map[string]Team{"t1": {Name: "t1"}},
		Keys:  map[string]string{"k1": "t1"},
	}
	c.Index()
	return c
}

// Guards against matching a request to another route than the one with the longest
// prefix among the routes of its host.
func TestMatch(t *testing.T) {
	c := config()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

// Guards against accepting a request without a team's key on a route that is not
// public, and against an unknown or empty key that is taken for a team's.
func TestAuthenticate(t *testing.T) {
	c := config()
	private, public := c.Match("a.example", "/x/"), c.Match("b.example", "/")
	team, ok := c.Authenticate(private, "k1")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, "t1")
	_, ok = c.Authenticate(private, "")
	assert.Assert(t, !ok)
	_, ok = c.Authenticate(private, "k2")
	assert.Assert(t, !ok)
	team, ok = c.Authenticate(public, "k2")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, "")
	c.Teams = nil
	_, ok = c.Authenticate(private, "")
	assert.Assert(t, ok, "a configuration without teams needs no keys")
}

// Guards against ignoring the weights of services, so that one service gets more
// or less of a route's requests than its part.
func TestPick(t *testing.T) {
	r := Route{Split: []WeightedService{{"a", 9}, {"b", 1}}}
	assert.Equal(t, r.PickService(0), "a")
	assert.Equal(t, r.PickService(0.89), "a")
	assert.Equal(t, r.PickService(0.91), "b")
	assert.Equal(t, r.PickService(1), "b")
}

// Guards against repeating a request that must not run twice, because its kind or
// a stream that cannot be resumed was not considered.
func TestRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Idempotent}).Repeatable())
	assert.Assert(t, !(&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Streaming}).Repeatable())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}
