package main

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestCheckExitCodes checks how keelctl check ends: 0 without errors, 1 with some, 2 if it couldn't check.
func TestCheckExitCodes(t *testing.T) {
	cli.Timeout = time.Second
	const good, unused, wrong = "testdata/check/good.json", "testdata/check/unused_pool.json", "testdata/check/spare_pool.json"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"version":1,"entries":{"pools":{"old":{}}}}`) }}
	go func() { _ = server.Serve(listener) }()
	defer func() { assert.NilError(t, server.Shutdown()) }()
	for _, c := range []struct {
		name    string
		command checkCommand
		file    string
		exit    int
	}{
		{name: "good", file: good},
		{name: "only_warnings", file: unused},
		{name: "warnings_when_strict", file: unused, command: checkCommand{Strict: true}, exit: exitFindings},
		{name: "wrong", file: wrong, exit: exitFindings},
		{name: "not_newer", file: good, command: checkCommand{Against: unused}, exit: exitFindings},
		{name: "in_force", file: good, command: checkCommand{InForce: listener.Addr().String()}},
		{name: "no_file", file: good + "x", exit: exitUnchecked},
		{name: "no_entry", file: good, command: checkCommand{InForce: "127.0.0.1:1"}, exit: exitUnchecked},
		{name: "two_comparisons", file: good, command: checkCommand{InForce: "127.0.0.1:1", Against: good}, exit: exitUnchecked},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.command.Args.File = c.file
			err := c.command.Execute(nil)
			if c.exit == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, exitCode(err), c.exit)
		})
	}
}
