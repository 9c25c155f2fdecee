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

// startEntry starts a server that counts its calls and returns its address. It responds with success for "ok", with the
// fault of the kind that response names, or for "disconnect" closes the connection after it has read the request.
func startEntry(t *testing.T, response string, calls *int) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*calls++
		kind, known := fault.KindByName(response)
		switch {
		case response == "disconnect":
			conn, _, _ := http.NewResponseController(w).Hijack()
			_ = conn.Close()
		case known:
			w.WriteHeader(kind.Properties().Status)
			_, _ = w.Write([]byte(`{"kind":"` + response + `","outcome":"` + string(kind.Properties().Outcome) + `"}`))
		default:
			_, _ = w.Write([]byte(`{}`))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestNextEntryIsTriedOnlyWhenSafe(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	for _, c := range []struct {
		first                 string
		get, post, idempotent bool
	}{
		{"refused", true, true, true},
		{"disconnect", true, false, true},
		{"not_ready", true, true, true},
		{"conflict", false, false, false},
		{"forbidden", false, false, false},
	} {
		for method, tried := range map[string]bool{"get": c.get, "post": c.post, "idempotent": c.idempotent} {
			var firstCalls, secondCalls int
			first := closed.Addr().String()
			if c.first != "refused" {
				first = startEntry(t, c.first, &firstCalls)
			}
			caller := client.Client{Addresses: []string{first, startEntry(t, "ok", &secondCalls)}, Timeout: 5 * time.Second}
			var out struct{}
			err := map[string]func() error{
				"get":        func() error { return caller.Get("/", &out) },
				"post":       func() error { return caller.Post("/", out, &out) },
				"idempotent": func() error { return caller.PostIdempotent("/", out, &out) },
			}[method]()
			assert.Equal(t, secondCalls == 1, tried, "%s after %s: %v", method, c.first, err)
			assert.Equal(t, err == nil, tried)
		}
	}
}
