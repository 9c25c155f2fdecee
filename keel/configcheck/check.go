package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
)

// Severity is how grave a finding is.
type Severity string

// The severities.
const (
	// Error is what keeps a part of the configuration from ever working.
	Error Severity = "error"
	// Warning is what may be meant, but probably isn't.
	Warning Severity = "warning"
)

// Section is the part of a configuration that an entry belongs to.
type Section string

// The sections.
const (
	Queues  Section = "queues"
	Pools   Section = "pools"
	Tenants Section = "tenants"
	Limits  Section = "limits"
	Version Section = "version"
)

// Finding is one thing that is wrong in a configuration.
type Finding struct {
	// Name is the stable name of the kind of finding.
	Name     string   `json:"name"`
	Severity Severity `json:"severity"`
	// Section and Entry name the entry of the configuration, Entry by its name or, for limits, by the limit.
	Section Section `json:"section"`
	Entry   string  `json:"entry"`
	// Place is where the entry stands in the file, in the file's terms.
	Place string `json:"place,omitempty"`
	// Text says what is wrong, Remedy how to mend it.
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// Bounds is what is known of the deployment; 0 for what isn't.
type Bounds struct {
	// RowBytes is the maximum size of a row of the store.
	RowBytes int
	// Compared is the version that the configuration is compared with, usually the one in force.
	Compared uint64
}

const (
	// minCallTime is the shortest timeout within which an entry can store a submission and respond.
	minCallTime = 100 * time.Millisecond
	// minHeaderBytes is what the headers of a call with a key need.
	minHeaderBytes = 512
)

// checker collects the findings of a configuration.
type checker struct {
	config   *queue.Config
	bounds   Bounds
	findings []Finding
}

// HasErrors reports whether some finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Check returns the findings of a configuration that could be decoded, errors first.
func Check(c *queue.Config, bounds Bounds) []Finding {
	k := &checker{config: c, bounds: bounds, findings: []Finding{}}
	k.checkVersion()
	k.checkAddresses()
	for _, q := range c.Queues {
		k.checkQueue(q)
		k.checkPolicy(q)
	}
	k.checkPools()
	k.checkLimits()
	k.checkTenants()
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return k.findings
}

func (k *checker) add(name string, severity Severity, section Section, entry, text, remedy string) {
	k.findings = append(k.findings, Finding{Name: name, Severity: severity, Section: section, Entry: entry, Text: text, Remedy: remedy})
}

func (k *checker) checkVersion() {
	if k.bounds.Compared > 0 && k.config.Version <= k.bounds.Compared {
		k.add("version_not_newer", Error, Version, "",
			fmt.Sprintf("version %d isn't above version %d, which it is compared with: entries that have applied that one keep it", k.config.Version, k.bounds.Compared),
			"raise the version")
	}
	if len(k.config.Queues) == 0 {
		k.add("no_queues", Error, Queues, "", "no queue is defined: every call gets 404", "add the queues")
	}
}

// checkAddresses finds queues that get none or only a part of the calls for them because another queue's address matches first.
func (k *checker) checkAddresses() {
	names := make(map[string]bool)
	for i, q := range k.config.Queues {
		if names[q.Name] {
			k.add("queue_duplicate_name", Error, Queues, q.Name, "an earlier queue has the same name: jobs of both share a queue", "rename one of them")
		}
		names[q.Name] = true
		for _, other := range k.config.Queues[:i] {
			k.checkOverlap(q, other)
		}
	}
}

func (k *checker) checkOverlap(q, earlier *queue.Queue) {
	if !strings.EqualFold(q.Host, earlier.Host) {
		return
	}
	if q.Prefix == earlier.Prefix {
		k.add("queue_unreachable", Error, Queues, q.Name,
			fmt.Sprintf("queue %s has the same host and prefix and comes first: no call reaches this one", earlier.Name), "change the host or the prefix of one of them")
		return
	}
	short, long := q, earlier
	if len(short.Prefix) > len(long.Prefix) {
		short, long = long, short
	}
	rest, nested := strings.CutPrefix(long.Prefix, short.Prefix)
	if nested && isIDPart(rest) {
		k.add("queue_hides_jobs", Warning, Queues, short.Name,
			fmt.Sprintf("calls for jobs whose ID begins with %q match the longer prefix of queue %s", rest, long.Name), "change the longer prefix so that what it adds isn't the begin of an ID")
	}
}

// isIDPart reports whether a job's ID can begin with the text.
func isIDPart(text string) bool {
	const idLength = 16
	return len(text) <= idLength && work.ValidID(text+strings.Repeat("0", idLength-len(text)))
}

func (k *checker) checkQueue(q *queue.Queue) {
	if q.Name == "" {
		k.add("queue_without_name", Error, Queues, q.Name, "the queue has no name", "name it")
	}
	if strings.Contains(q.Host, ":") {
		k.add("host_with_port", Error, Queues, q.Name, fmt.Sprintf("host %q names a port, which is left out of a call's host: no call matches", q.Host), "leave out the port")
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		k.add("prefix_without_slash", Error, Queues, q.Name, fmt.Sprintf("prefix %q doesn't begin with a slash: no path matches", q.Prefix), "begin it with a slash")
	}
	if q.Timeout > 0 && q.Timeout < minCallTime {
		k.add("timeout_too_short", Error, Queues, q.Name,
			fmt.Sprintf("timeout of %s: a submission can't be stored within less than %s", q.Timeout, minCallTime), "raise the timeout")
	}
	if q.Stretch > 0 && q.Stretch < 1 && q.LatencyTarget == 0 {
		k.add("objective_out_of_reach", Warning, Queues, q.Name,
			fmt.Sprintf("stretch %g without a latency target: no job can be done sooner than its tasks take", q.Stretch), "raise the stretch to 1 or more, or set a latency target")
	}
	pool, ok := k.config.Pools[q.Pool]
	switch {
	case !ok:
		k.add("pool_missing", Error, Queues, q.Name, fmt.Sprintf("pool %q isn't defined: no worker runs the queue's tasks", q.Pool), "define the pool, or name another one")
	case pool.Spare:
		k.add("pool_is_spare", Error, Queues, q.Name, fmt.Sprintf("pool %q is a spare pool, whose instances are off: no worker runs the queue's tasks", q.Pool), "name another pool")
	}
}

func (k *checker) checkPolicy(q *queue.Queue) {
	p := q.Policy
	if p == nil {
		return
	}
	if p.TicketValidity < minCallTime {
		k.add("ticket_expires_unused", Error, Queues, q.Name,
			fmt.Sprintf("a ticket is valid for %s from the policy's response on: no start can use it", p.TicketValidity), "raise the validity of tickets")
	}
}

func (k *checker) checkPools() {
	used := make(map[string]bool)
	for _, q := range k.config.Queues {
		used[q.Pool] = true
	}
	for _, name := range sortedPools(k.config) {
		if !used[name] && !k.config.Pools[name].Spare {
			k.add("pool_unused", Warning, Pools, name, "no queue runs in the pool, and it isn't spare: its instances do nothing", "make it spare, or let a queue name it")
		}
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	if k.bounds.RowBytes > 0 && l.BodyBytes > k.bounds.RowBytes {
		k.add("body_above_row", Warning, Limits, "body size",
			fmt.Sprintf("submissions up to %d bytes are read, and a row of the store holds %d: larger jobs are refused later", l.BodyBytes, k.bounds.RowBytes), "lower the limit")
	}
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		k.add("headers_too_small", Error, Limits, "header size",
			fmt.Sprintf("%d bytes: the headers of a call with a key need up to %d", l.HeaderBytes, minHeaderBytes), "raise the limit")
	}
}

func (k *checker) checkTenants() {
	set := k.config.Tenants
	closed := slices.ContainsFunc(k.config.Queues, func(q *queue.Queue) bool { return !q.Public })
	if set == nil {
		for _, q := range k.config.Queues {
			if q.Public {
				k.add("public_without_tenants", Warning, Queues, q.Name, "the queue is public, and the configuration has no tenants: calls to all queues need no key", "add the tenants")
				return
			}
		}
		return
	}
	withKeys := 0
	for t := range set.All() {
		if owner := set.SharesKeyWith(t.Name); owner != "" {
			k.add("key_of_two_tenants", Error, Tenants, t.Name, fmt.Sprintf("tenant %s has one of its keys too, and calls with it are that tenant's", owner), "give each tenant keys of its own")
		}
		if len(set.Keys(t.Name)) > 0 {
			withKeys++
		} else if closed {
			k.add("tenant_without_key", Warning, Tenants, t.Name, "the tenant has no key that isn't another tenant's: it can call public queues only", "add a key, or remove the tenant")
		}
	}
	if withKeys == 0 && closed {
		k.add("queues_closed", Error, Tenants, "", "no tenant has a key: every call to a queue that isn't public gets 401", "add the keys")
	}
}
