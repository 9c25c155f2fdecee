package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/standin/endpoint"
	"samphirekeel.example/standin/load"
	"samphirekeel.example/standin/platformd"
)

// powerTimeout bounds the call that takes an endpoint down or brings it up.
const powerTimeout = 2 * time.Second

// fleetFile reads a list of instances.
func fleetFile(path string) ([]platform.Listed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err, "fleet file")
	}
	var fleet []platform.Listed
	err = json.Unmarshal(data, &fleet)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err, "fleet file %s", path)
	}
	return fleet, nil
}

type platformCommand struct {
	Listen     string        `long:"listen" default:"127.0.0.1:7000" description:"address to serve on"`
	Fleet      string        `long:"fleet" required:"true" description:"JSON file that lists the instances"`
	ListLag    time.Duration `long:"list-lag" default:"1s" description:"lag of the instance list"`
	RebootTime time.Duration `long:"reboot-time" default:"1s" description:"time that a reboot takes"`
	Adopted    bool          `long:"adopted" description:"start with a row for every instance, all in the spare pool"`
	Power      string        `long:"power" description:"control address of the endpoints, told of reboots"`
}

// Execute serves until the process ends.
func (c *platformCommand) Execute([]string) error {
	fleet, err := fleetFile(c.Fleet)
	if err != nil {
		return err
	}
	stub := platformtest.New()
	stub.ListLag = c.ListLag
	stub.RebootTime = c.RebootTime
	if c.Power != "" {
		stub.OnReboot = func(line platform.Listed, down bool) { tellPower(c.Power, line.Address, down) }
	}
	for _, line := range fleet {
		stub.AddInstance(line)
	}
	if c.Adopted {
		adopt(stub, fleet)
	}
	server := &fasthttp.Server{Handler: (&platformd.Server{Platform: stub}).Handle}
	return server.ListenAndServe(c.Listen)
}

// adopt writes the rows that the entries would write for the fleet.
func adopt(stub *platformtest.Platform, fleet []platform.Listed) {
	spare := pool.Record{Name: instance.SparePool, Members: len(fleet)}
	txn := platform.Txn{Token: platform.NewToken(), Writes: []platform.Write{rowset.Write(pool.Key(spare.Name), spare)}}
	for _, line := range fleet {
		record := instance.Record{
			ID: line.ID, DataCentre: line.DataCentre, Rack: line.Rack, Address: line.Address, Size: line.Size,
			Slots: line.Slots, Connections: line.Connections,
			Pool: instance.SparePool, State: instance.InService, Boot: max(line.Boot, 1),
		}
		txn.Writes = append(txn.Writes, rowset.Write(record.Key(), record))
	}
	stub.Table().Commit(txn)
}

// tellPower takes the endpoint on the address down or brings it up.
func tellPower(control, address string, down bool) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + control + "/power")
	body, err := json.Marshal(endpoint.Command{Address: address, Down: down})
	if err == nil {
		request.SetBody(body)
		err = fasthttp.DoTimeout(request, nil, powerTimeout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: power:", err)
	}
}

type endpointsCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:7001" description:"control address"`
	Fleet  string        `long:"fleet" required:"true" description:"JSON file that lists the instances"`
	Work   time.Duration `long:"work" default:"20ms" description:"time that a request takes"`
	Slots  int           `long:"slots" description:"requests that an endpoint works on at once; 0 for no bound"`
}

// Execute serves until the process ends.
func (c *endpointsCommand) Execute([]string) error {
	fleet, err := fleetFile(c.Fleet)
	if err != nil {
		return err
	}
	set := endpoint.NewSet(c.Work)
	set.Slots = c.Slots
	for _, line := range fleet {
		err = set.Up(line.Address)
		if err != nil {
			return err
		}
	}
	return fasthttp.ListenAndServe(c.Listen, set.Handle)
}

type loadCommand struct {
	Entries  []string      `long:"entry" required:"true" description:"callers' address of an entry; repeatable"`
	Services []string      `long:"service" required:"true" description:"partner/service that tickets go to; repeatable"`
	Tickets  int           `long:"tickets" default:"1000" description:"tickets to send"`
	Clients  int           `long:"clients" default:"16" description:"clients that send at once"`
	Pause    time.Duration `long:"pause" default:"0s" description:"time between two tickets of one client"`
	Truthful bool          `long:"truthful" description:"accept tickets whose true answer is that nobody knows whether they ran"`
	Audit    string        `long:"audit" default:"127.0.0.1:7001" description:"control address of the endpoints"`
}

// Execute sends the tickets, prints the account as JSON, and fails if a ticket was lost, doubled or cut.
func (c *loadCommand) Execute([]string) error {
	run := &load.Load{
		Entries: c.Entries, Services: c.Services, Tickets: c.Tickets, Clients: c.Clients, Pause: c.Pause, Audit: c.Audit,
	}
	report, err := run.Run()
	if err != nil {
		return err
	}
	body, err := json.Marshal(report)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report")
	}
	fmt.Println(string(body))
	if !report.Whole() && (!c.Truthful || !report.Truthful()) {
		return fault.New(fault.Internal, "tickets were lost, doubled, cut or answered wrongly")
	}
	return nil
}
