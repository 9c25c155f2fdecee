package connection

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/memory"
)

// exchange is what a client sends on one connection and the statuses of the responses, in the order of the requests; 0 stands for a
// connection that is closed without a response.
type exchange struct {
	Name string `json:"name"`
	// Memory is the memory of the account in bytes, 0 for no limit.
	Memory int64      `json:"memory"`
	Send   []fragment `json:"send"`
	Status []int      `json:"status"`
	// Body is the length of the body that the handler gets with the last request.
	Body int `json:"body"`
	// Limit is the name of a limit that has acted, empty for none.
	Limit string `json:"limit"`
}

// fragment is Text, repeated Times times if that isn't 0.
type fragment struct {
	Text  string `json:"text"`
	Times int    `json:"times"`
}

var limitsByName = map[string]memory.Limit{
	"memory refused": memory.MemoryRefused, "header timeout": memory.HeaderTimeout, "body timeout": memory.BodyTimeout, "write timeout": memory.WriteTimeout,
}

const (
	testBodyLimit   = 100_000
	testHeaderLimit = 8000
	testTimeout     = 2 * time.Second
)

// bodyServer is a server whose handler reads the body of each POST, and whose response to /large has 8 MB.
type bodyServer struct {
	address string
	account *memory.Account
	bodies  chan int
}

func newBodyServer(t *testing.T, limit int64) *bodyServer {
	listener, err := Listen("127.0.0.1:0", ClientQueues)
	assert.NilError(t, err)
	if limit == 0 {
		limit = math.MaxInt64
	}
	s := &bodyServer{address: listener.Addr().String(), account: &memory.Account{Bytes: limit}, bodies: make(chan int, 10)}
	timeout := func() time.Duration { return testTimeout }
	large := strings.Repeat("x", 8<<20)
	server := &Server{
		Set: &Set{}, Account: s.account, Queues: ClientQueues, Timeouts: Timeouts{Idle: timeout, Header: timeout, Body: testTimeout, Write: testTimeout},
		KeepAlive: time.Minute, HeaderBytes: HeaderBufferBytes, MaxHeader: func() int { return testHeaderLimit }, MaxBody: func() int { return testBodyLimit },
		Reject: func(ctx *fasthttp.RequestCtx, err error) {
			kind := fault.BadRequest
			var known *fault.Error
			if errors.As(err, &known) {
				kind = known.Kind()
			}
			ctx.Response.Reset()
			ctx.SetStatusCode(kind.Properties().Status)
			ctx.SetConnectionClose()
		},
	}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/large" {
			ctx.SetBodyString(large)
			return
		}
		if !ctx.IsPost() {
			return
		}
		err := ReadBody(ctx, testBodyLimit)
		if err != nil {
			server.Reject(ctx, err)
			return
		}
		s.bodies <- len(ctx.PostBody())
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		assert.NilError(t, <-done)
	})
	return s
}

// play sends the fragments while it reads the responses, and returns their statuses.
func (s *bodyServer) play(t *testing.T, e exchange) []int {
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	go func() {
		for _, f := range e.Send {
			for range max(1, f.Times) {
				_, err := io.WriteString(conn, f.Text)
				if err != nil {
					return
				}
			}
		}
	}()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	statuses := make([]int, 0, len(e.Status))
	for range e.Status {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(statuses, 0)
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

func TestExchanges(t *testing.T) {
	data, err := os.ReadFile("testdata/exchanges.json")
	assert.NilError(t, err)
	var exchanges []exchange
	assert.NilError(t, json.Unmarshal(data, &exchanges))
	for _, e := range exchanges {
		t.Run(strings.ReplaceAll(e.Name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			s := newBodyServer(t, e.Memory)
			assert.DeepEqual(t, s.play(t, e), e.Status)
			if e.Body > 0 {
				assert.Equal(t, <-s.bodies, e.Body)
			}
			if e.Limit != "" {
				assert.Assert(t, s.account.Count(limitsByName[e.Limit]) > 0, e.Limit)
			}
			for s.account.Used() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against a client that holds a response for as long as it likes.
func TestUnreadResponseIsDropped(t *testing.T) {
	s := newBodyServer(t, 0)
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	for s.account.Count(memory.WriteTimeout) == 0 || s.account.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}
