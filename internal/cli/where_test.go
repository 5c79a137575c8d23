package cli_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/cli"
	"tarragonridge.example/tarragonridge/internal/gateway"
	adapter "tarragonridge.example/tarragonridge/platform"
)

// Guards against a command that prints no reason, or hides a bad question.
func TestWhereCommand(t *testing.T) {
	g := gateway.New(gateway.Options{Codec: adapter.Headers{}, Host: "front-1", Metrics: gateway.NewMetrics()})
	server := httptest.NewServer(g.WhereHandler())
	defer server.Close()
	run := func(args ...string) (code int, out, errOut string) {
		var o, e bytes.Buffer
		code = cli.Main(append([]string{"where", "--gateway", strings.TrimPrefix(server.URL, "http://")}, args...), &o, &e)
		return code, o.String(), e.String()
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"-H", "Authorization: Bearer k", "h.example", "/pay/1"}, cli.ExitOK, "decision=refuse status=503 kind=platform_unavailable"},
		{[]string{"--json", "h.example", "/pay/1"}, cli.ExitOK, `"no configuration yet"`},
		{[]string{"-H", "nonsense", "h.example", "/pay/1"}, cli.ExitUsage, "not of the form Name: value"},
		{[]string{"h.example", "pay"}, cli.ExitError, "begins with a slash"},
		{[]string{"--body", "missing.bin", "h.example", "/pay/1"}, cli.ExitUsage, "missing.bin"},
	} {
		code, out, errOut := run(c.args...)
		assert.Equal(t, code, c.code, "%v: %s%s", c.args, out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, c.want), "%v: %s%s", c.args, out, errOut)
	}
}
