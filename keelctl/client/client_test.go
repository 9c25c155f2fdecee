package client_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keelctl/client"
)

// entry answers as told and counts the calls: "ok", "cut" (the connection, after reading) or a kind of fault.
func entry(t *testing.T, answer string, calls *int) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*calls++
		kind, known := fault.KindByName(answer)
		switch {
		case answer == "cut":
			conn, _, _ := http.NewResponseController(w).Hijack()
			_ = conn.Close()
		case known:
			w.WriteHeader(kind.Properties().Status)
			_, _ = w.Write([]byte(`{"kind":"` + answer + `","outcome":"` + string(kind.Properties().Outcome) + `"}`))
		default:
			_, _ = w.Write([]byte(`{}`))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestNextEntryIsAskedOnlyWhereThatIsSafe(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	for _, c := range []struct {
		first             string
		get, post, repeat bool
	}{
		{"refused", true, true, true},
		{"cut", true, false, true},
		{"not_ready", true, true, true},
		{"conflict", false, false, false},
		{"forbidden", false, false, false},
	} {
		for method, asked := range map[string]bool{"get": c.get, "post": c.post, "repeat": c.repeat} {
			var firstCalls, secondCalls int
			first := closed.Addr().String()
			if c.first != "refused" {
				first = entry(t, c.first, &firstCalls)
			}
			caller := client.Client{Addresses: []string{first, entry(t, "ok", &secondCalls)}, Timeout: 5 * time.Second}
			var out struct{}
			err := map[string]func() error{
				"get":    func() error { return caller.Get("/", &out) },
				"post":   func() error { return caller.Post("/", out, &out) },
				"repeat": func() error { return caller.Repeat("/", out, &out) },
			}[method]()
			assert.Equal(t, secondCalls == 1, asked, "%s after %s: %v", method, c.first, err)
			assert.Equal(t, err == nil, asked)
		}
	}
}
