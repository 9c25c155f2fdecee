package config

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/settings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects problems, each with the path of its setting.
type checker struct {
	problems []string
	// skipPaths holds the paths for which a problem was already reported.
	skipPaths map[string]bool
}

func (c *checker) addProblem(path, format string, args ...any) {
	if !c.skipPaths[path] {
		c.problems = append(c.problems, path+": "+fmt.Sprintf(format, args...))
	}
}

// Check returns one message for each problem, which begins with the path of the setting; problems at skipPaths, which
// the caller has already reported, are left out.
func (c Config) Check(skipPaths map[string]bool) []string {
	check := &checker{skipPaths: skipPaths}
	check.name("name", c.Name)
	check.dataCentres(c)
	check.address("listen.callers", c.Listen.Callers)
	check.address("listen.operators", c.Listen.Operators)
	check.address("listen.peers", c.Listen.Peers)
	check.distinctAddresses(c.Listen)
	check.address("platform.address", c.Platform.Address)
	for i, peer := range c.Peers {
		check.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	check.operators(c.Operators)
	if c.Log.Format != "json" && c.Log.Format != "text" {
		check.addProblem("log.format", "%q is neither json nor text", c.Log.Format)
	}
	_, err := logrus.ParseLevel(c.Log.Level)
	if err != nil {
		check.addProblem("log.level", "%q is none of %v", c.Log.Level, logrus.AllLevels)
	}
	check.positive("platform.timeout", int64(c.Platform.Timeout))
	check.positive("limits.body_bytes", int64(c.Limits.BodyBytes))
	check.positive("limits.connections", int64(c.Limits.Connections))
	check.positive("limits.memory_mb", int64(c.Limits.MemoryMB))
	check.positive("limits.write_timeout", int64(c.Limits.WriteTimeout))
	if c.Limits.Descriptors < 0 {
		check.addProblem("limits.descriptors", "must not be below zero")
	}
	check.positive("limits.drain_timeout", int64(c.Limits.DrainTimeout))
	if c.Limits.StopGrace < 0 {
		check.addProblem("limits.stop_grace", "must not be below zero")
	}
	return check.problems
}

func (c *checker) positive(path string, value int64) {
	if value <= 0 {
		c.addProblem(path, "must be above zero")
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.addProblem(path, "%q is not a name of lower-case letters, digits and hyphens", name)
	}
}

func (c *checker) dataCentres(config Config) {
	for i, name := range config.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.name(path, name)
		if slices.Index(config.DataCentres, name) < i {
			c.addProblem(path, "%q is listed twice", name)
		}
	}
	if !slices.Contains(config.DataCentres, config.DataCentre) {
		c.addProblem("data_centre", "%q is not one of data_centres (%s)", config.DataCentre, strings.Join(config.DataCentres, ", "))
	}
}

func (c *checker) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		c.addProblem(path, "%q is not an address such as 127.0.0.1:7100", address)
		return
	}
	if net.ParseIP(host) == nil {
		c.addProblem(path, "%q is not an IP address", host)
	}
	_, err = net.LookupPort("tcp", port)
	if err != nil || port == "0" {
		c.addProblem(path, "%q is not a port", port)
	}
}

func (c *checker) distinctAddresses(listen Listen) {
	if listen.Operators != "" && listen.Operators == listen.Callers {
		c.addProblem("listen.operators", "%s is already the address of listen.callers", listen.Operators)
	}
	if listen.Peers != "" && (listen.Peers == listen.Callers || listen.Peers == listen.Operators) {
		c.addProblem("listen.peers", "%s is already the address of another listener", listen.Peers)
	}
}

func (c *checker) operators(operators []operator.Operator) {
	names, tokens := make(map[string]int), make(map[string]int)
	for i, configured := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		if configured.Name == "" {
			c.addProblem(path+".name", "is missing")
		}
		if configured.Token == "" {
			c.addProblem(path+".token", "is missing")
		}
		_, err := settings.ParsePath(string(configured.Subtree))
		if err != nil {
			c.addProblem(path+".subtree", "%q is not a path such as partner/pool", configured.Subtree)
		}
		first, duplicate := names[configured.Name]
		if duplicate && configured.Name != "" {
			c.addProblem(path+".name", "%q is already the name of operators[%d]", configured.Name, first)
		}
		first, duplicate = tokens[configured.Token]
		if duplicate && configured.Token != "" {
			c.addProblem(path+".token", "is already the token of operators[%d]", first)
		}
		names[configured.Name], tokens[configured.Token] = i, i
	}
}
