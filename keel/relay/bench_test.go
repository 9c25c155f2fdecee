package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// benchmarkOrders is the number of orders in flight, and of those in a message.
const benchmarkOrders = 200

// processorTime returns the processor time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var benchmarkBegan = time.Now()

func sinceStart() time.Duration { return time.Since(benchmarkBegan) }

// reportOrders reports the processor time and the allocations of one order since the start of the benchmark.
func reportOrders(b *testing.B, began time.Duration, before runtime.MemStats) {
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	orders := float64(b.N * benchmarkOrders)
	b.ReportMetric(float64(processorTime()-began)/orders, "cpu-ns/order")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/orders, "allocs/order")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/orders, "B/order")
	b.ReportMetric(0, "ns/op")
}

func benchmarkTask(i int) work.TaskID {
	return work.TaskID{Job: fmt.Sprintf("%016x", 0x5f3a9c0172e4b800+i/8), Step: 1, Index: i % 8}
}

// The orders of a round, and the workers that they are for.
var (
	benchmarkTargets = list(benchmarkTarget)
	benchmarkStarts  = list(startOrder)
)

func list[T any](item func(int) T) []T {
	items := make([]T, benchmarkOrders)
	for i := range items {
		items[i] = item(i)
	}
	return items
}

func benchmarkTarget(i int) worker.Target {
	return worker.Target{ID: fmt.Sprintf("worcester-%04d/1764795600000", i%100), Address: fmt.Sprintf("10.3.%d.7:7400", i%100), DataCentre: "worcester"}
}

func startOrder(i int) worker.StartOrder {
	return worker.StartOrder{
		Task: benchmarkTask(i), Run: 3001, Spec: `{"name":"bay-check","seconds":0.4}`, LeaseEnd: time.Duration(i) * time.Second, Token: 4,
	}
}

// startResults returns the results of n accepted orders, of which the first has the ID after first.
func startResults(first uint64, n int) Results {
	var results Results
	for i := range n {
		results.Results = append(results.Results, encodeResult(first+uint64(i)+1, worker.Status{Reply: worker.Reply{Clock: 83 * time.Second}}, nil))
	}
	return results
}

// renewalResults returns the results of n renewals with one end each.
func renewalResults(first uint64, n int) Results {
	var results Results
	for i := range n {
		end := worker.End{Number: int64(i), Task: benchmarkTask(i), Run: 3001, Kind: worker.Done}
		status := worker.Status{Reply: worker.Reply{Clock: 83 * time.Second}, Partial: true, Ended: []worker.End{end}}
		results.Results = append(results.Results, encodeResult(first+uint64(i)+1, status, nil))
	}
	return results
}

// BenchmarkClient sends orders from a control loop through a relay whose results are ready; messages aren't encoded.
func BenchmarkClient(b *testing.B) {
	kinds := map[string]struct {
		results func(uint64, int) Results
		send    func(workers *worker.Client, loop *control.Loop, i int, done func(error))
	}{
		"start": {startResults, func(workers *worker.Client, loop *control.Loop, i int, done func(error)) {
			control.Call(loop, time.Second, func(ctx context.Context) (worker.Reply, error) {
				return workers.Start(ctx, benchmarkTargets[i], benchmarkStarts[i])
			}, func(_ worker.Reply, err error) { done(err) })
		}},
		"submitted_start": {startResults, func(workers *worker.Client, _ *control.Loop, i int, done func(error)) {
			workers.SubmitStart(benchmarkTargets[i], benchmarkStarts[i], time.Second, func(_ worker.Reply, _ time.Duration, err error) { done(err) })
		}},
		"submitted_renew": {renewalResults, func(workers *worker.Client, _ *control.Loop, i int, done func(error)) {
			order := worker.RenewOrder{Token: 4, Wait: time.Second, EndsSuffice: true}
			workers.SubmitRenew(benchmarkTargets[i], order, time.Second, func(_ worker.Status, err error) { done(err) })
		}},
		"renew": {renewalResults, func(workers *worker.Client, loop *control.Loop, i int, done func(error)) {
			control.Call(loop, time.Second, func(ctx context.Context) (worker.Status, error) {
				return workers.Renew(ctx, benchmarkTargets[i], worker.RenewOrder{Token: 4, Wait: time.Second, EndsSuffice: true})
			}, func(_ worker.Status, err error) { done(err) })
		}},
	}
	for name, kind := range kinds {
		b.Run(name, func(b *testing.B) {
			client := NewClient()
			client.nextID = 0
			client.Log, client.Direct, client.Address, client.Now = &event.Log{}, &worker.Client{}, "leader", sinceStart
			results := kind.results(0, benchmarkOrders)
			received := 0
			client.Send = func(_ context.Context, _ string, batch Batch) error {
				received += len(batch.Orders)
				if received == benchmarkOrders {
					received = 0
					go client.Deliver(results)
				}
				return nil
			}
			for i := range 3 {
				client.Accept(Offer{Name: fmt.Sprintf("edge-worcester-%d", i), DataCentre: "worcester"})
			}
			client.links = map[string]*link{"edge-worcester-0": client.links["edge-worcester-0"]}
			client.links["edge-worcester-0"].offeredAt = time.Hour
			workers := client.Workers()
			ctx, cancel := context.WithCancel(b.Context())
			loop := control.New(1000)
			client.Post = func(f func()) { loop.Post(ctx, f) }
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			began := processorTime()
			err := loop.Run(ctx, func() {
				sendRounds(b.N, client, cancel, func(i int, done func(error)) { kind.send(workers, loop, i, done) })
			})
			assert.NilError(b, err)
			reportOrders(b, began, before)
		})
	}
}

// sendRounds sends rounds of orders, each with the same IDs, and calls finished after the last one.
func sendRounds(rounds int, client *Client, finished func(), send func(i int, done func(error))) {
	if rounds == 0 {
		finished()
		return
	}
	client.mu.Lock()
	client.nextID = 0
	client.mu.Unlock()
	remaining := benchmarkOrders
	for i := range benchmarkOrders {
		send(i, func(err error) {
			if err != nil {
				panic(err)
			}
			remaining--
			if remaining == 0 {
				sendRounds(rounds-1, client, finished, send)
			}
		})
	}
}

// scriptedConn is a connection whose other side is a function: written gets what is written to the connection, and
// returns what is to be read.
type scriptedConn struct {
	net.Conn
	written func([]byte) []byte
	reader  *io.PipeReader
	writer  *io.PipeWriter
}

func newScriptedConn(written func([]byte) []byte) *scriptedConn {
	c := &scriptedConn{written: written}
	c.reader, c.writer = io.Pipe()
	return c
}

func (c *scriptedConn) Write(data []byte) (int, error) {
	reply := c.written(data)
	if len(reply) > 0 {
		go func() { _, _ = c.writer.Write(reply) }()
	}
	return len(data), nil
}

func (c *scriptedConn) Read(data []byte) (int, error)    { return c.reader.Read(data) }
func (c *scriptedConn) Close() error                     { return c.writer.Close() }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func frame(message string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(message))), message...)
}

// BenchmarkSendOrders encodes a message of orders and sends it over a link between entries.
func BenchmarkSendOrders(b *testing.B) {
	batch := Batch{ReplyTo: "10.1.0.2:7000", Specs: []string{startOrder(0).Spec}}
	for i := range benchmarkOrders {
		o, to := startOrder(i), benchmarkTarget(i)
		batch.Orders = append(batch.Orders, Order{
			ID: 1<<61 + uint64(i), Kind: kindStart, Worker: to.ID, Address: to.Address, Token: 4, ExpiresMillis: 83000, TimeoutMillis: 220,
			Task: o.Task.String(), Run: o.Run, Spec: 1, LeaseEndMillis: o.LeaseEnd.Milliseconds(),
		})
	}
	var message bytes.Buffer
	id := regexp.MustCompile(`"id":\d+`)
	attached := regexp.MustCompile(`"attached_bytes":(\d+)`)
	attachedBytes := func(message []byte) int {
		match := attached.FindSubmatch(message[:min(len(message), 200)])
		if match == nil {
			return 0
		}
		n, _ := strconv.Atoi(string(match[1]))
		return n
	}
	bytesSent := 0
	conn := newScriptedConn(func(data []byte) []byte {
		message.Write(data)
		length, n := binary.Uvarint(message.Bytes())
		if n <= 0 || message.Len() < n+int(length)+attachedBytes(message.Bytes()) {
			return nil
		}
		bytesSent += message.Len()
		reply := frame(`{` + string(id.Find(message.Bytes())) + `,"result":{},"jsonrpc":"2.0"}`)
		message.Reset()
		return reply
	})
	node := &peer.Node{Timeout: time.Second, Dial: func(string, time.Duration) (net.Conn, error) { return conn, nil }}
	defer node.Close()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	began := processorTime()
	for range b.N {
		assert.NilError(b, node.Call(b.Context(), "relay", MethodCompactOrders, peer.Attachment(batch.Encode()), &struct{}{}))
	}
	reportOrders(b, began, before)
	b.ReportMetric(float64(bytesSent)/float64(b.N*benchmarkOrders), "sent-B/order")
}

// scriptedListener accepts one connection.
type scriptedListener struct {
	net.Listener
	conns chan net.Conn
}

func (l scriptedListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, io.EOF
	}
	return conn, nil
}

func (l scriptedListener) Close() error {
	close(l.conns)
	return nil
}

// BenchmarkReceiveResults reads and decodes messages of results that arrive over a link between entries.
func BenchmarkReceiveResults(b *testing.B) {
	for name, results := range map[string]Results{"start": startResults(1<<61, benchmarkOrders), "renew": renewalResults(1<<61, benchmarkOrders)} {
		b.Run(name, func(b *testing.B) {
			attachment := results.Encode()
			message := frame(fmt.Sprintf(`{"id":7,"jsonrpc":"2.0","method":"%s","attached_bytes":%d}`, MethodCompactResults, len(attachment)))
			message = append(message, attachment...)
			replies := make(chan struct{}, 1)
			conn := newScriptedConn(func([]byte) []byte { replies <- struct{}{}; return nil })
			node := &peer.Node{Timeout: time.Second, Methods: map[string]peer.Method{
				MethodCompactResults: peer.NewAttachedMethod(func(_ context.Context, attachment peer.Attachment) error {
					in, err := DecodeResults(attachment)
					if err != nil || len(in.Results) != benchmarkOrders {
						panic("wrong results")
					}
					for i := range in.Results {
						_, err := in.Results[i].status()
						if err != nil {
							panic(err)
						}
					}
					return nil
				}),
			}}
			defer node.Close()
			listener := scriptedListener{conns: make(chan net.Conn, 1)}
			listener.conns <- conn
			go func() { _ = node.Serve(b.Context(), listener) }()
			writer := bufio.NewWriter(conn.writer)
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			began := processorTime()
			for range b.N {
				_, _ = writer.Write(message)
				_ = writer.Flush()
				<-replies
			}
			reportOrders(b, began, before)
			b.ReportMetric(float64(len(message))/benchmarkOrders, "received-B/order")
		})
	}
}

// BenchmarkMessage sends messages of three results over the loopback interface, one after another; the processor time is
// that of both sides.
func BenchmarkMessage(b *testing.B) {
	server := &peer.Node{Timeout: time.Second, Methods: map[string]peer.Method{
		MethodCompactResults: peer.NewAttachedMethod(func(_ context.Context, a peer.Attachment) error { _, err := DecodeResults(a); return err }),
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = server.Serve(b.Context(), l) }()
	node := &peer.Node{Timeout: time.Second, Dial: func(a string, t time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", a, t) }}
	defer node.Close()
	results := renewalResults(1<<61, 3)
	began := processorTime()
	for range b.N {
		assert.NilError(b, node.Call(b.Context(), l.Addr().String(), MethodCompactResults, peer.Attachment(results.Encode()), &struct{}{}))
	}
	b.ReportMetric(float64(processorTime()-began)/float64(b.N), "cpu-ns/message")
}
