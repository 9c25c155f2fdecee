// Command samphirekeel is the daemon that runs on every entry instance and serves callers, operators and peers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"samphirekeel.example/entry/config"
	"samphirekeel.example/entry/daemon"
	"samphirekeel.example/entry/site"
	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/platform"
)

// version can be set at link time with -X main.version.
var version = "dev"

// options is the command line.
type options struct {
	Settings     string        `short:"s" long:"settings" value-name:"FILE" description:"settings file of this entry"`
	Platform     string        `long:"platform-settings" value-name:"FILE" env:"SAMPHIREKEEL_SETTINGS" description:"settings file that the platform writes; the entry then runs on the platform"`
	LogLevel     string        `long:"log-level" value-name:"LEVEL" default:"info" description:"lowest level that is logged on the platform"`
	Metrics      int           `long:"metrics-port" value-name:"PORT" description:"port on which an entry on the platform serves /metrics; 0 for none"`
	NoSeparation bool          `long:"no-separation" description:"don't keep tasks apart that slow each other down on one worker"`
	Forecast     bool          `long:"forecast" description:"learn peaks of demand that come back, and move instances before them"`
	ClientMemory float64       `long:"client-memory-share" value-name:"FRACTION" default:"0.3" description:"part of the instance's memory on the platform that clients may make the entry hold"`
	WriteTimeout time.Duration `long:"write-timeout" value-name:"DURATION" default:"10s" description:"time within which a client on the platform has to read each 64 KB of a response"`
	Check        bool          `long:"check" description:"check the settings file and that its addresses are free, and exit"`
}

func main() {
	err := run(os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "samphirekeel:", err)
	os.Exit(fault.KindOf(err).Properties().ExitCode)
}

func run(args []string) error {
	var opts options
	_, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.Usage, err, "command line")
	}
	switch {
	case opts.Settings != "":
		return runDaemon(opts)
	case opts.Platform != "":
		return runSite(opts)
	}
	return fault.New(fault.Usage, "command line: --settings or --platform-settings is required")
}

// runDaemon runs an entry with the product's own settings file.
func runDaemon(opts options) error {
	settings, err := config.Load(opts.Settings)
	if err != nil {
		return err
	}
	if opts.Check {
		return daemon.CheckListen(settings.Listen)
	}
	log := event.New(os.Stderr, settings.Log.Format == "json")
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "log.level")
	}
	log.Logger.SetLevel(level)
	log.Base = event.Fields{"entry": settings.Name}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process := &daemon.Daemon{Config: settings, Log: log, Version: version}
	return process.Run(ctx)
}

// runSite runs an entry on the platform, with the settings file that the platform writes. A hangup reloads that file.
func runSite(opts options) error {
	// SIGHUP is caught before the settings are read, so that an early one does not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := opts.checkClients()
	if err != nil {
		return err
	}
	load := func() (deployment.Settings, error) { return platform.LoadSettings(opts.Platform) }
	settings, err := load()
	if err != nil || opts.Check {
		return err
	}
	level, err := logrus.ParseLevel(opts.LogLevel)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "--log-level")
	}
	log := event.NewBounded(os.Stdout, event.LinesPerSecond)
	defer log.Close()
	log.Logger.SetLevel(level)
	log.Base = event.Fields{"entry": settings.Name}
	process := &site.Entry{
		Settings: settings, Log: &log.Log, Version: version, Reload: load, MetricsPort: opts.Metrics, NoSeparation: opts.NoSeparation, ForecastPeaks: opts.Forecast,
		ClientMemoryShare: opts.ClientMemory, WriteTimeout: opts.WriteTimeout,
		Store: platform.NewStore(settings.Store.Address), Workers: platform.NewWorkerClient(), Codec: site.PlatformCodec(),
	}
	if settings.InstanceService.Address != "" {
		process.Provider = platform.NewInstanceClient(settings.InstanceService.Address)
	}
	if settings.PolicyAddress != "" {
		process.Policy = platform.NewPolicyClient(settings.PolicyAddress)
	}
	return process.Run(ctx, reloads(ctx, hangups))
}

// checkClients fails with kind Usage if a limit on clients is out of range.
func (o options) checkClients() error {
	if !(o.ClientMemory > 0 && o.ClientMemory <= 1) {
		return fault.New(fault.Usage, "--client-memory-share: %v, must be above 0 and at most 1", o.ClientMemory)
	}
	if o.WriteTimeout <= 0 {
		return fault.New(fault.Usage, "--write-timeout: %v, must be above zero", o.WriteTimeout)
	}
	return nil
}

// reloads returns a channel that receives a value for each hangup until ctx ends.
func reloads(ctx context.Context, hangups <-chan os.Signal) <-chan struct{} {
	reload := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
			case <-ctx.Done():
				return
			}
			select {
			case reload <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return reload
}
