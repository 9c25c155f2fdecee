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

// powerTimeout is the timeout of the call that stops or starts an endpoint.
const powerTimeout = 2 * time.Second

// readFleet reads the list of instances in a JSON file.
func readFleet(path string) ([]platform.Listing, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err, "read fleet file")
	}
	var fleet []platform.Listing
	err = json.Unmarshal(data, &fleet)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err, "decode fleet file %s", path)
	}
	return fleet, nil
}

type platformCommand struct {
	Listen       string        `long:"listen" default:"127.0.0.1:7000" description:"address to serve on"`
	FleetFile    string        `long:"fleet" required:"true" description:"JSON file that lists the instances"`
	ListLag      time.Duration `long:"list-lag" default:"1s" description:"lag of the instance list"`
	RebootTime   time.Duration `long:"reboot-time" default:"1s" description:"time that a reboot takes"`
	Adopted      bool          `long:"adopted" description:"start with a row for every instance, all in the spare pool"`
	PowerAddress string        `long:"power" description:"control address of the endpoints, told of reboots"`
}

// Execute serves until the process ends.
func (c *platformCommand) Execute([]string) error {
	fleet, err := readFleet(c.FleetFile)
	if err != nil {
		return err
	}
	fake := platformtest.New()
	fake.ListLag = c.ListLag
	fake.RebootTime = c.RebootTime
	if c.PowerAddress != "" {
		fake.OnReboot = func(listing platform.Listing, down bool) { setPower(c.PowerAddress, listing.Address, down) }
	}
	for _, listing := range fleet {
		fake.AddInstance(listing)
	}
	if c.Adopted {
		storeInstanceRows(fake, fleet)
	}
	server := &fasthttp.Server{Handler: (&platformd.Server{Platform: fake}).Handle}
	return server.ListenAndServe(c.Listen)
}

// storeInstanceRows stores the rows that entries would write when they add the fleet to the spare pool.
func storeInstanceRows(fake *platformtest.Platform, fleet []platform.Listing) {
	spare := pool.Record{Name: instance.SparePool, Members: len(fleet)}
	txn := platform.Txn{Token: platform.NewToken(), Writes: []platform.Write{rowset.Write(pool.Key(spare.Name), spare)}}
	for _, listing := range fleet {
		record := instance.Record{
			ID: listing.ID, DataCentre: listing.DataCentre, Rack: listing.Rack, Address: listing.Address, Size: listing.Size,
			Slots: listing.Slots, Connections: listing.Connections,
			Pool: instance.SparePool, State: instance.InService, Boot: max(listing.Boot, 1),
		}
		txn.Writes = append(txn.Writes, rowset.Write(record.Key(), record))
	}
	fake.Table().Commit(txn)
}

// setPower stops or starts the endpoint at the address; a failure is only logged.
func setPower(control, address string, down bool) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + control + "/power")
	body, err := json.Marshal(endpoint.PowerRequest{Address: address, Down: down})
	if err == nil {
		request.SetBody(body)
		err = fasthttp.DoTimeout(request, nil, powerTimeout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: set power of endpoint:", err)
	}
}

type endpointsCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7001" description:"control address"`
	FleetFile   string        `long:"fleet" required:"true" description:"JSON file that lists the instances"`
	ServiceTime time.Duration `long:"work" default:"20ms" description:"time that a request takes"`
	Slots       int           `long:"slots" description:"requests that an endpoint works on at once; 0 for no bound"`
}

// Execute serves until the process ends.
func (c *endpointsCommand) Execute([]string) error {
	fleet, err := readFleet(c.FleetFile)
	if err != nil {
		return err
	}
	set := endpoint.NewSet(c.ServiceTime)
	set.Slots = c.Slots
	for _, listing := range fleet {
		err = set.Up(listing.Address)
		if err != nil {
			return err
		}
	}
	return fasthttp.ListenAndServe(c.Listen, set.Handle)
}

type loadCommand struct {
	Entries      []string      `long:"entry" required:"true" description:"callers' address of an entry; repeatable"`
	Services     []string      `long:"service" required:"true" description:"partner/service that tickets go to; repeatable"`
	Tickets      int           `long:"tickets" default:"1000" description:"tickets to send"`
	Clients      int           `long:"clients" default:"16" description:"clients that send at once"`
	Pause        time.Duration `long:"pause" default:"0s" description:"time between two tickets of one client"`
	AllowUnknown bool          `long:"truthful" description:"accept tickets whose true answer is that nobody knows whether they ran"`
	AuditAddress string        `long:"audit" default:"127.0.0.1:7001" description:"control address of the endpoints"`
}

// Execute sends the tickets and prints the report as JSON. It fails unless every ticket ran exactly once; with
// AllowUnknown, interrupted requests and unknown outcomes are allowed.
func (c *loadCommand) Execute([]string) error {
	generator := &load.TicketGenerator{
		Entries: c.Entries, Services: c.Services, Tickets: c.Tickets, Clients: c.Clients, Pause: c.Pause,
		AuditAddress: c.AuditAddress,
	}
	report, err := generator.Run()
	if err != nil {
		return err
	}
	body, err := json.Marshal(report)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode report")
	}
	fmt.Println(string(body))
	if !report.ExactlyOnce() && (!c.AllowUnknown || !report.Consistent()) {
		return fault.New(fault.Internal, "some tickets did not run exactly once, were interrupted or got a wrong response; see the report")
	}
	return nil
}
