package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/operator"
)

// Duration is a duration written as a string such as "2s".
type Duration time.Duration

// UnmarshalJSON fails if the value is not a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	err := json.Unmarshal(data, &text)
	if err != nil {
		return fmt.Errorf("%s is not a duration such as \"2s\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"2s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Listen holds the addresses on which the entry listens.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Platform holds the address of the platform's service and the timeout of one call.
type Platform struct {
	Address string   `json:"address"`
	Timeout Duration `json:"timeout"`
}

// Log configures the log.
type Log struct {
	// Format is json or text.
	Format string `json:"format"`
	// Level is the lowest level that is logged.
	Level string `json:"level"`
}

// Limits holds the limits of one entry.
type Limits struct {
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int `json:"body_bytes"`
	// Connections is the maximum number of callers' connections.
	Connections int `json:"connections"`
	// MemoryMB is the memory that the process may use; clients may make it hold a part of that.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the maximum number of open files and connections, 0 for that of the process.
	Descriptors int `json:"descriptors"`
	// WriteTimeout is the time within which a client has to read each part of a response.
	WriteTimeout Duration `json:"write_timeout"`
	// DrainTimeout is the longest time that a stopping entry waits for requests in flight.
	DrainTimeout Duration `json:"drain_timeout"`
	// StopGrace is the time for which a stopping entry, which reports that it is not ready, still accepts connections.
	StopGrace Duration `json:"stop_grace"`
}

// Config is the settings file of an entry.
type Config struct {
	Name        string   `json:"name"`
	DataCentre  string   `json:"data_centre"`
	DataCentres []string `json:"data_centres"`
	Listen      Listen   `json:"listen"`
	Platform    Platform `json:"platform"`
	// Peers lists the addresses of other entries from which the entry reads the fleet's settings if the platform is
	// unavailable at its start.
	Peers     []string            `json:"peers"`
	Operators []operator.Operator `json:"operators"`
	Log       Log                 `json:"log"`
	Limits    Limits              `json:"limits"`
}

const (
	defaultPlatformTimeout = 2 * time.Second
	defaultBodyBytes       = 1 << 20
	defaultConnections     = 4096
	defaultMemoryMB        = 512
	defaultWriteTimeout    = 10 * time.Second
	defaultDrainTimeout    = 30 * time.Second
	defaultStopGrace       = 2 * time.Second
)

func defaults() Config {
	return Config{
		Platform: Platform{Timeout: Duration(defaultPlatformTimeout)},
		Log:      Log{Format: "json", Level: "info"},
		Limits: Limits{
			BodyBytes: defaultBodyBytes, Connections: defaultConnections, DrainTimeout: Duration(defaultDrainTimeout),
			StopGrace: Duration(defaultStopGrace), MemoryMB: defaultMemoryMB, WriteTimeout: Duration(defaultWriteTimeout),
		},
	}
}

// Load reads and checks the file; its error, of kind Usage, lists every problem with its path in the file.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fault.Wrap(fault.Usage, err, "settings file")
	}
	config, problems := Parse(data)
	if len(problems) > 0 {
		return config, fault.New(fault.Usage, "settings file %s:\n  %s", path, strings.Join(problems, "\n  "))
	}
	return config, nil
}

// Parse decodes and checks the settings and returns one message for each problem, which begins with its path.
func Parse(data []byte) (Config, []string) {
	config := defaults()
	reader := &reader{}
	reader.read("", data, reflect.ValueOf(&config).Elem())
	return config, append(reader.problems, config.Check(reader.invalidPaths)...)
}
