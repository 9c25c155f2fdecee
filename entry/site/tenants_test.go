package site

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/platform/platformtest"
)

// The keys of the tenants in these tests.
const (
	keyA     = "key-a"
	otherA   = "key-a-other"
	keyB     = "key-b"
	neverKey = "key-never"
	jobBody  = `{"spec":"s","steps":[{"count":1,"cpu":100,"estimatedMs":200}]}`
	endless  = `{"spec":"s","steps":[{"count":1,"cpu":100,"estimatedMs":200,"longRunning":true}]}`
)

// tenantRun starts entries a-1 and b-1 with the tenants a and b, the queue q-p and the public queue open.
func tenantRun(t *testing.T, play func(t *testing.T, p *dayRun)) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		p.addQueue("open", "p", 4)
		p.queues[len(p.queues)-1].Public = true
		p.setKeys([]string{keyA, otherA}, []string{keyB})
		time.Sleep(5 * time.Second)
		for _, entry := range p.entryNames() {
			assert.Equal(t, p.get(entry, keyB, "").status, 200)
		}
		play(t, p)
	})
}

// setKeys stores a version of the configuration with the tenants a and b and their keys.
func (p *dayRun) setKeys(a, b []string) {
	p.tenants = []platformtest.Tenant{{Name: "a", Weight: 1, Keys: a}, {Name: "b", Weight: 2, Keys: b}}
	p.putConfig()
}

// answer is the response to a request.
type answer struct {
	status int
	retry  bool
	body   string
}

// send sends a request with a key, empty for none, to an entry past its listener; the path is that of a queue of the same name.
func (p *dayRun) send(entry, key, method, queueName, id, body string) answer {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.Header.SetHost(queueName + ".example")
	ctx.Request.SetRequestURI("/" + queueName + "/" + id)
	ctx.Request.SetBodyString(body)
	if key != "" {
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, "Token "+key)
	}
	p.entry(entry).site.serveCaller(&ctx)
	return answer{
		status: ctx.Response.StatusCode(), retry: len(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0,
		body: string(ctx.Response.Body()),
	}
}

func (p *dayRun) post(entry, key, id string) answer {
	return p.send(entry, key, fasthttp.MethodPost, "q-p", id, jobBody)
}

func (p *dayRun) get(entry, key, id string) answer {
	return p.send(entry, key, fasthttp.MethodGet, "q-p", id, "")
}

func (p *dayRun) delete(entry, key, id string) answer {
	return p.send(entry, key, fasthttp.MethodDelete, "q-p", id, "")
}

// storedJob returns the stored submission of a job, nil if there is none.
func (p *dayRun) storedJob(id string) *work.Job {
	contents, err := ledger.Load(p.t.Context(), p.store.Client("test"))
	assert.NilError(p.t, err)
	for _, s := range contents.Jobs {
		if s.Job.ID == id {
			return s.Job
		}
	}
	return nil
}

// otherThanLeader returns the leader's name and that of another entry.
func (p *dayRun) otherThanLeader() (leader, other string) {
	if p.leaderName() == "a-1" {
		return "a-1", "b-1"
	}
	return p.leaderName(), "a-1"
}

// Each call needs the key of a tenant, but those for public queues. A queue that doesn't exist has its own response.
func TestKeysOfCalls(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		calls := []struct {
			method, id, body string
			allowed          int
		}{
			{fasthttp.MethodPost, jobID(1), jobBody, 200},
			{fasthttp.MethodGet, jobID(1), "", 200},
			{fasthttp.MethodGet, jobID(99), "", 410},
			{fasthttp.MethodGet, "", "", 200},
			{fasthttp.MethodDelete, jobID(99), "", 410},
			{fasthttp.MethodPost, jobID(2), "not JSON", 400},
			{fasthttp.MethodPost, "no ID", jobBody, 400},
		}
		for _, entry := range p.entryNames() {
			for _, c := range calls {
				for _, key := range []string{"", neverKey, keyA + " ", strings.ToUpper(keyA), keyA[:3], keyA + keyA} {
					got := p.send(entry, key, c.method, "q-p", c.id, c.body)
					if key == keyA+" " {
						assert.Equal(t, got.status, c.allowed, "%s %s: %s", c.method, c.id, got.body)
						continue
					}
					assert.Equal(t, got.status, 401, "%s %s with key %q: %s", c.method, c.id, key, got.body)
					assert.Assert(t, !strings.Contains(got.body, neverKey))
				}
				assert.Equal(t, p.send(entry, keyA, c.method, "q-p", c.id, c.body).status, c.allowed)
				assert.Equal(t, p.send(entry, keyA, c.method, "q-none", c.id, c.body).status, 404)
				assert.Equal(t, p.send(entry, "", c.method, "q-none", c.id, c.body).status, 404)
			}
		}
		assert.Equal(t, p.storedJob(jobID(1)).Tenant, "a")
		assert.Assert(t, !strings.Contains(p.log.text(), neverKey) && !strings.Contains(p.log.text(), keyA))
	})
}

// A public queue needs no key, and its jobs belong to no tenant, whatever key was sent.
func TestPublicQueue(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		for i, key := range []string{"", neverKey, keyA} {
			got := p.send("a-1", key, fasthttp.MethodPost, "open", jobID(1+i), endless)
			assert.Equal(t, got.status, 200, got.body)
			assert.Equal(t, p.storedJob(jobID(1+i)).Tenant, "")
			for _, asker := range []string{"", keyB} {
				assert.Equal(t, p.send("b-1", asker, fasthttp.MethodGet, "open", jobID(1+i), "").status, 200)
			}
		}
		// The public queue isn't a way to the jobs of a tenant.
		assert.Equal(t, p.send("a-1", keyA, fasthttp.MethodPost, "q-p", jobID(9), endless).status, 200)
		assert.Equal(t, p.send("a-1", "", fasthttp.MethodGet, "open", jobID(9), "").status, 410)
		assert.Equal(t, p.send("a-1", keyB, fasthttp.MethodDelete, "open", jobID(9), "").status, 410)
		assert.Equal(t, p.get("b-1", keyA, jobID(9)).status, 200)
	})
}

// Guards against a call of another tenant that learns anything of a job or changes it, whether the leader or the store
// knows the job, before and after a change of the leader. The tenant itself may use any of its keys.
func TestJobOfAnotherTenant(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		id := jobID(1)
		assert.Equal(t, p.send("a-1", keyA, fasthttp.MethodPost, "q-p", id, endless).status, 200)
		time.Sleep(2 * time.Second)
		check := func(entries ...string) {
			for _, entry := range entries {
				unknown := p.get(entry, keyB, jobID(99))
				foreign := p.get(entry, keyB, id)
				assert.Equal(t, foreign.status, 410)
				assert.Equal(t, strings.ReplaceAll(foreign.body, id, jobID(99)), unknown.body)
				assert.Equal(t, p.delete(entry, keyB, id).status, 410)
				got := p.send(entry, keyB, fasthttp.MethodPost, "q-p", id, endless)
				assert.Equal(t, got.status, 409, got.body)
				assert.Equal(t, p.send(entry, otherA, fasthttp.MethodPost, "q-p", id, endless).status, 200)
				got = p.get(entry, otherA, id)
				assert.Equal(t, got.body, `{"state":"running"}`, "%d", got.status)
			}
		}
		check(p.entryNames()...)
		// The entry that survives the leader answers from the store, then leads.
		leader, other := p.otherThanLeader()
		p.kill(leader)
		check(other)
		time.Sleep(8 * time.Second)
		check(other)
		assert.Equal(t, p.delete(other, otherA, id).status, 200)
		assert.Equal(t, p.get(other, keyA, id).body, `{"state":"cancelled"}`)
		time.Sleep(8 * time.Second)
		assert.Equal(t, p.get(other, keyA, id).body, `{"state":"cancelled"}`)
		assert.Equal(t, p.get(other, keyB, id).status, 410)
		assert.Assert(t, p.storedJob(id) == nil, "the submission is still stored, so that this tests nothing")
		assert.Equal(t, p.send(other, keyB, fasthttp.MethodPost, "q-p", id, endless).status, 409)
		assert.Equal(t, p.send(other, keyA, fasthttp.MethodPost, "q-p", id, endless).status, 200)
	})
}

// A job without a tenant, as an earlier version stores it, is open to all tenants, so that none is lost by an upgrade.
func TestJobOfEarlierVersion(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		assert.Equal(t, p.send("a-1", "", fasthttp.MethodPost, "open", jobID(1), endless).status, 200)
		for _, key := range []string{keyA, keyB} {
			assert.Equal(t, p.get("b-1", key, jobID(1)).status, 200)
		}
	})
}

// The jobs of a tenant that the configuration no longer has run on.
func TestRemovedTenant(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		assert.Equal(t, p.post("a-1", keyB, jobID(1)).status, 200)
		p.tenants = p.tenants[:1]
		p.putConfig()
		time.Sleep(time.Second)
		assert.Equal(t, p.get("b-1", keyB, jobID(1)).status, 401)
		assert.Equal(t, p.get("b-1", keyA, jobID(1)).status, 410)
		time.Sleep(4 * time.Second)
		p.setKeys([]string{keyA}, []string{"key-b-new"})
		time.Sleep(time.Second)
		assert.Equal(t, p.get("b-1", "key-b-new", jobID(1)).body, `{"state":"running"}`)
	})
}

// Guards against a withdrawn key that is valid on a connection that stays open, or in a request that was half read.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	// Starts fasthttp's clock for the header Date, which never ends, outside of the bubble.
	_ = (&fasthttp.ResponseHeader{}).String()
	tenantRun(t, func(t *testing.T, p *dayRun) {
		open := func() (net.Conn, *bufio.Reader) {
			conn, err := p.network.Dial("a", "host-a-1:80", time.Second)
			assert.NilError(t, err)
			return conn, bufio.NewReader(conn)
		}
		request := func(id string) string {
			return fmt.Sprintf("POST /q-p/%s HTTP/1.1\r\nHost: q-p.example\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s", id, keyA, len(jobBody), jobBody)
		}
		status := func(conn net.Conn, r *bufio.Reader, text string) int {
			_, err := conn.Write([]byte(text))
			assert.NilError(t, err)
			var response fasthttp.Response
			assert.NilError(t, response.Read(r))
			return response.StatusCode()
		}
		kept, keptReader := open()
		half, halfReader := open()
		assert.Equal(t, status(kept, keptReader, request(jobID(1))), 200)
		text := request(jobID(2))
		_, err := half.Write([]byte(text[:len(text)-5]))
		assert.NilError(t, err)
		p.setKeys([]string{otherA}, []string{keyB})
		time.Sleep(time.Second)
		assert.Equal(t, status(kept, keptReader, request(jobID(3))), 401)
		assert.Equal(t, status(half, halfReader, text[len(text)-5:]), 401)
		assert.Assert(t, p.storedJob(jobID(2)) == nil)
		_ = kept.Close()
		_ = half.Close()
	})
}

// Guards against a withdrawn key that is valid on an entry that the store rejects, whether that is the leader or not, and
// against a 401 for an added key there.
func TestKeysOnEntryWithoutStore(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		_, other := p.otherThanLeader()
		p.store.Inject(&emulator.StoreFault{Outage: emulator.Busy, Callers: []string{other}})
		time.Sleep(time.Second)
		p.setKeys([]string{otherA, "key-a-added"}, []string{keyB})
		time.Sleep(time.Second)
		assert.Equal(t, p.post(other, keyA, jobID(1)).status, 401)
		got := p.post(other, "key-a-added", jobID(2))
		assert.Equal(t, got.status, 200, got.body)
	})
}

// An entry that can't check the configuration takes the keys that it knows and can't tell whether others are valid. Where the
// deployment asks for it, it takes none from the time after the last check on that the deployment states.
func TestKeysOnEntryCutOff(t *testing.T) {
	for _, strict := range []bool{false, true} {
		t.Run(fmt.Sprintf("strict_%t", strict), func(t *testing.T) {
			tenantRun(t, func(t *testing.T, p *dayRun) {
				site := p.entry("b-1").site
				onLoop(t.Context(), site, func() bool {
					site.Settings.Bounds.RefuseUnchecked, site.Settings.Bounds.RevokeTime = strict, 5*time.Second
					site.updateKeyTime()
					return true
				})
				heal := p.partition()
				p.setKeys([]string{keyA, "key-a-added"}, nil)
				time.Sleep(3 * time.Second)
				for _, key := range []string{"key-a-added", neverKey, ""} {
					got := p.post("b-1", key, jobID(1))
					assert.Equal(t, got.status, 503, got.body)
					assert.Assert(t, got.retry)
				}
				// The entry can't store the job, but the key was taken.
				got := p.post("b-1", keyB, jobID(2))
				assert.Equal(t, got.status, 503, got.body)
				assert.Assert(t, strings.Contains(got.body, "not stored"), got.body)
				time.Sleep(3 * time.Second)
				got = p.post("b-1", keyB, jobID(2))
				assert.Equal(t, got.status, 503, got.body)
				assert.Assert(t, got.retry)
				assert.Equal(t, strings.Contains(got.body, "withdrawn"), strict, got.body)
				heal()
				time.Sleep(3 * time.Second)
				assert.Equal(t, p.post("b-1", keyB, jobID(2)).status, 401)
				assert.Equal(t, p.post("b-1", "key-a-added", jobID(3)).status, 200)
				assert.Equal(t, p.post("b-1", neverKey, jobID(4)).status, 401)
			})
		})
	}
}

// Guards against versions that come in quick succession, or an older one that arrives later.
func TestKeysOfVersionsInQuickSuccession(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		for i := range 20 {
			if i%2 == 0 {
				p.setKeys(nil, []string{keyB})
			} else {
				p.setKeys([]string{keyA}, nil)
			}
			time.Sleep(7 * time.Millisecond)
		}
		time.Sleep(time.Second)
		older := onLoop(t.Context(), p.entry("a-1").site, func() table.Row { return p.entry("a-1").site.operatorRows["config"] })
		p.setKeys(nil, []string{keyB})
		time.Sleep(time.Second)
		for _, entry := range p.entryNames() {
			site := p.entry(entry).site
			site.loop.Post(t.Context(), func() { site.applyOperatorRows([]table.Row{older}) })
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, p.get(entry, keyA, "").status, 401)
			assert.Equal(t, p.get(entry, keyB, "").status, 200)
		}
	})
}

// Guards against a key that was withdrawn while all entries were down. No key is valid before an entry has a configuration.
func TestKeysAfterRestart(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		assert.Equal(t, p.post("a-1", keyA, jobID(1)).status, 200)
		for _, name := range p.entryNames() {
			p.kill(name)
		}
		p.setKeys([]string{otherA}, []string{keyB})
		outage := &emulator.StoreFault{Outage: emulator.Busy}
		p.store.Inject(outage)
		p.addEntry("a-1", "a", false)
		time.Sleep(2 * time.Second)
		for _, key := range []string{keyA, otherA, neverKey, ""} {
			got := p.post("a-1", key, jobID(1))
			assert.Equal(t, got.status, 503, got.body)
			assert.Assert(t, got.retry)
		}
		p.store.Clear(outage)
		time.Sleep(8 * time.Second)
		assert.Equal(t, p.post("a-1", keyA, jobID(1)).status, 401)
		assert.Equal(t, p.get("a-1", otherA, jobID(1)).status, 200)
		assert.Equal(t, p.get("a-1", keyB, jobID(1)).status, 410)
	})
}

// A version that can't be decoded isn't applied; whether a key that the last good one lacks is valid isn't known then.
func TestKeysOfUnreadableConfiguration(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		key := table.Key{Table: PlatformCodec().OperatorTable, Name: "config"}
		p.store.Put(table.Write{Key: key, Value: []byte(`{"version":9,"tenants":[{"name":"a","weight":-1}]}`)})
		time.Sleep(3 * time.Second)
		assert.Equal(t, p.post("a-1", keyA, jobID(1)).status, 200)
		got := p.post("a-1", neverKey, jobID(2))
		assert.Equal(t, got.status, 503, got.body)
		p.version = 10
		p.setKeys(nil, []string{keyB})
		time.Sleep(time.Second)
		assert.Equal(t, p.post("a-1", keyA, jobID(1)).status, 401)
		assert.Equal(t, p.post("a-1", neverKey, jobID(2)).status, 401)
	})
}

// Guards against a job that is stored although its caller's key was withdrawn while it waited for the store.
func TestKeyWithdrawnBeforeJobIsStored(t *testing.T) {
	tenantRun(t, func(t *testing.T, p *dayRun) {
		site := p.entry("a-1").site
		q := site.config.Load().QueueByName("q-p")
		var header fasthttp.RequestHeader
		header.Set(fasthttp.HeaderAuthorization, "Token "+keyA)
		from, err := site.authorise(checkedConfig{site.config.Load(), true}, q, &header)
		assert.NilError(t, err)
		p.setKeys([]string{otherA}, []string{keyB})
		time.Sleep(time.Second)
		err = site.submit(t.Context(), &work.Job{ID: jobID(1), Queue: "q-p", Tenant: "a", Steps: []work.Step{{Count: 1, Size: work.Size{MilliCores: 1}}}}, from)
		assert.ErrorContains(t, err, "withdrawn")
		assert.Assert(t, p.storedJob(jobID(1)) == nil)
	})
}

// A configuration without tenants asks for no key, as before.
func TestNoTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		for i, key := range []string{"", neverKey} {
			assert.Equal(t, p.post("a-1", key, jobID(i)).status, 200)
			assert.Equal(t, p.storedJob(jobID(i)).Tenant, "")
			assert.Equal(t, p.get("b-1", "", jobID(i)).status, 200)
		}
	})
}

// Guards against metrics without bound: a tenant beyond the limit counts among the others.
func TestTenantMetricsAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newTenantMetrics(registry)
	for range 2 {
		for i := range maxTenantLabels + 50 {
			m.observe(fmt.Sprint("t", i), fasthttp.StatusOK)
		}
		m.observe("", fasthttp.StatusUnauthorized)
		m.observe("t0", fasthttp.StatusServiceUnavailable)
	}
	counts := make(map[string]float64)
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, metric := range families[0].GetMetric() {
		labels := metric.GetLabel()
		counts[labels[1].GetValue()+" "+labels[0].GetValue()] = metric.GetCounter().GetValue()
	}
	assert.Equal(t, len(counts), maxTenantLabels+3)
	assert.Equal(t, counts["other accepted"], 100.0)
	assert.Equal(t, counts["none unauthorised"], 2.0)
	assert.Equal(t, counts["t0 refused"], 2.0)
	assert.Equal(t, counts["t0 accepted"], 2.0)
}

// Guards against a call by a withdrawn key that is served by an entry that the store turns away while it does so with the
// leader as well; and against such entries that find no leader until the store serves them again, though another entry leads.
func TestKeysWhileLeaderHasNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := partitionedDay()
		d.Entries = 2
		p := &dayRun{testCluster: newTestCluster(t, 1), day: d}
		defer p.shutdown()
		p.build()
		p.setKeys([]string{keyA, otherA}, nil)
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.send("a-1", keyA, fasthttp.MethodPost, "q-p", jobID(1), endless).status, 200)
		for _, entry := range p.entryNames() {
			assert.Equal(t, p.get(entry, keyA, jobID(1)).status, 200)
		}
		leader, other := p.otherThanLeader()
		outage := &emulator.StoreFault{Outage: emulator.Busy, Callers: []string{leader, other}}
		p.store.Inject(outage)
		time.Sleep(100 * time.Millisecond)
		p.setKeys([]string{otherA}, []string{keyB})
		time.Sleep(2 * time.Second)
		for i := range 60 {
			for _, entry := range p.entryNames() {
				assert.Assert(t, p.post(entry, keyA, jobID(100+i)).status != 200, entry)
				got := p.get(entry, keyA, jobID(1))
				assert.Assert(t, got.status == 401 || got.status == 503, "%s: %d %s", entry, got.status, got.body)
				got = p.post(entry, keyB, jobID(1000+i))
				assert.Assert(t, got.status == 200 || got.status == 503, "%s: %d %s", entry, got.status, got.body)
				if i >= 30 {
					assert.Equal(t, got.status, 200, "%s: %s", entry, got.body)
					assert.Equal(t, p.post(entry, neverKey, jobID(9)).status, 401, entry)
					assert.Assert(t, p.entry(entry).site.ready(), entry)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.store.Clear(outage)
		time.Sleep(2 * time.Second)
		for _, entry := range p.entryNames() {
			assert.Equal(t, p.post(entry, keyA, jobID(2)).status, 401)
			assert.Equal(t, p.post(entry, keyB, jobID(3)).status, 200)
		}
	})
}
