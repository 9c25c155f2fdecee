package platformtest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

// Switches selects the failures of the fake platform; the zero value has none.
type Switches struct {
	// Outage rejects every call before it takes effect.
	Outage bool `json:"outage"`
	// Slow is the delay of every call before it takes effect.
	Slow time.Duration `json:"slow_ns"`
	// Freeze blocks every call until its context ends; the call has no effect.
	Freeze bool `json:"freeze"`
	// LoseCommitResponses is the number of commits whose responses are lost after the commits took effect.
	LoseCommitResponses int `json:"lose_answers"`
	// LoseStartResponses is the number of starts of tasks whose responses are lost after the starts took effect.
	LoseStartResponses int `json:"lose_starts"`
	// Partitioned lists the data centres that are partitioned from the platform; their calls are rejected.
	Partitioned []string `json:"cut,omitempty"`
}

// Platform is a fake platform; its methods are safe for concurrent use.
type Platform struct {
	// ListLag is the time after which a change appears in the instance list.
	ListLag time.Duration
	// RebootTime is the duration of a reboot.
	RebootTime time.Duration
	// OnReboot is called, with the platform's mutex held, when an instance goes down for a reboot and when it is up
	// again.
	OnReboot func(listing platform.Listing, down bool)

	table         *Table
	fleet         *fleet
	tasks         map[string]*task
	failing       map[string]bool
	reportVersion uint64
	reboots       int
	mu            sync.Mutex
	switches      Switches
	objects       map[string][]byte
	handlers      map[string]func(json.RawMessage) (any, error)
}

// New returns a Platform with an empty table and no instances.
func New() *Platform {
	p := &Platform{
		table:    NewTable(),
		fleet:    newFleet(),
		tasks:    make(map[string]*task),
		failing:  make(map[string]bool),
		objects:  make(map[string][]byte),
		handlers: make(map[string]func(json.RawMessage) (any, error)),
	}
	handle(p, platform.MethodCommit, func(txn platform.Txn) (any, error) { return p.table.Commit(txn), nil })
	handle(p, platform.MethodGet, func(in platform.GetRequest) (any, error) { return p.table.Get(in), nil })
	handle(p, platform.MethodScan, func(in platform.ScanRequest) (any, error) { return p.table.Scan(in), nil })
	handle(p, platform.MethodPutObject, p.putObject)
	handle(p, platform.MethodGetObject, p.getObject)
	handle(p, platform.MethodList, p.list)
	handle(p, platform.MethodDrain, p.drain)
	handle(p, platform.MethodRestore, p.restore)
	handle(p, platform.MethodReboot, p.reboot)
	handle(p, platform.MethodStart, p.start)
	handle(p, platform.MethodRenew, p.renew)
	handle(p, platform.MethodRenewTasks, p.renewTasks)
	handle(p, platform.MethodStop, p.stop)
	handle(p, platform.MethodThrottle, p.throttle)
	handle(p, platform.MethodCheckpoint, p.checkpoint)
	handle(p, platform.MethodUsage, p.usage)
	return p
}

// handle registers the handler of one method.
func handle[In any](p *Platform, method string, handler func(In) (any, error)) {
	p.handlers[method] = func(body json.RawMessage) (any, error) {
		var in In
		err := json.Unmarshal(body, &in)
		if err != nil {
			return nil, fault.New(fault.BadRequest, "%s: %v", method, err)
		}
		return handler(in)
	}
}

// Table returns the platform's table.
func (p *Platform) Table() *Table { return p.table }

// Set replaces the switches.
func (p *Platform) Set(switches Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = switches
}

// Client returns a client whose calls come from the data centre.
func (p *Platform) Client(dataCentre string) *platform.Client {
	return &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
		body, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "encode %s", method)
		}
		response, err := p.Serve(ctx, dataCentre, method, body)
		if err != nil {
			return err
		}
		return json.Unmarshal(response, out)
	}}
}

// Serve handles one call from the data centre, subject to the switches, and returns the encoded response.
func (p *Platform) Serve(ctx context.Context, dataCentre, method string, body json.RawMessage) (json.RawMessage, error) {
	err := p.applySwitches(ctx, dataCentre)
	if err != nil {
		return nil, err
	}
	handler, ok := p.handlers[method]
	if !ok {
		return nil, fault.New(fault.NotExist, "method %s", method)
	}
	response, err := handler(body)
	if err != nil {
		return nil, err
	}
	if p.dropResponse(method) {
		return nil, fault.New(fault.PlatformUnavailable, "response lost").WithOutcome(fault.Unknown)
	}
	return json.Marshal(response)
}

// applySwitches applies the switches that act on a call before it takes effect.
func (p *Platform) applySwitches(ctx context.Context, dataCentre string) error {
	p.mu.Lock()
	switches := p.switches
	p.mu.Unlock()
	if switches.Outage {
		return fault.New(fault.PlatformUnavailable, "platform outage")
	}
	for _, partitioned := range switches.Partitioned {
		if partitioned == dataCentre {
			return fault.New(fault.PlatformUnavailable, "data centre %s is partitioned from the platform", dataCentre)
		}
	}
	if switches.Freeze {
		<-ctx.Done()
		return fault.Wrap(fault.PlatformUnavailable, ctx.Err(), "platform frozen").WithOutcome(fault.Unknown)
	}
	if switches.Slow <= 0 {
		return nil
	}
	timer := time.NewTimer(switches.Slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.PlatformUnavailable, ctx.Err(), "platform slow").WithOutcome(fault.Unknown)
	}
}

// dropResponse reports whether the response to a call that took effect is lost, and decrements the switch's count.
func (p *Platform) dropResponse(method string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var remaining *int
	switch method {
	case platform.MethodCommit:
		remaining = &p.switches.LoseCommitResponses
	case platform.MethodStart:
		remaining = &p.switches.LoseStartResponses
	default:
		return false
	}
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func (p *Platform) putObject(object platform.Object) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[object.Key] = object.Body
	return platform.Empty{}, nil
}

func (p *Platform) getObject(object platform.Object) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[object.Key]
	if !ok {
		return nil, fault.New(fault.NotExist, "object %s", object.Key)
	}
	return platform.Object{Key: object.Key, Body: body}, nil
}
