package main_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
)

// portCount is the number of free ports that a script gets, in the variables P0, P1 and so on.
const portCount = 16

// The range of the ports for scripts, below the kernel's range of ephemeral ports.
const (
	firstPort = 23000
	lastPort  = 30000
	// Concurrent runs of the tests begin in different sub-ranges, selected by process ID.
	portRanges    = 32
	portsPerRange = 200
)

// pollInterval is the time between two attempts of untilCommand.
const pollInterval = 100 * time.Millisecond

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// processes holds the running processes of one script by the names that the script gave them.
type processes map[string]*exec.Cmd

type processesKey struct{}

// TestProcesses runs the scripts in testdata/process with real processes on the loopback interface.
func TestProcesses(t *testing.T) {
	bin := buildPrograms(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/process",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			running := processes{}
			env.Values[processesKey{}] = running
			env.Defer(running.kill)
			return assignPorts(env)
		},
		Cmds: processCommands(),
	})
}

// buildPrograms builds the programs and returns the directory that they are in.
func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, ".", "../keelctl", "../standin")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	// go build names the binary of this module after its directory.
	assert.NilError(t, os.Rename(filepath.Join(bin, "entry"), filepath.Join(bin, "samphirekeel")))
	return bin
}

// processCommands returns the commands of scripts with processes.
func processCommands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"expand": expandCommand,
		"start":  startCommand,
		"signal": signalCommand,
		"join":   joinCommand,
		"until":  untilCommand,
		"holder": holderCommand,
	}
}

// ports holds the next port to try; each port is given to one script only.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()%portRanges*portsPerRange}

// assignPorts sets the variables P0, P1 and so on to free ports.
func assignPorts(env *testscript.Env) error {
	ports.Lock()
	defer ports.Unlock()
	for assigned := 0; assigned < portCount; ports.next++ {
		if ports.next >= lastPort {
			return errors.New("no free port left")
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", ports.next))
		if err != nil {
			continue
		}
		err = listener.Close()
		if err != nil {
			return err
		}
		env.Setenv(fmt.Sprintf("P%d", assigned), strconv.Itoa(ports.next))
		assigned++
	}
	return nil
}

// kill kills all running processes and waits for them to exit.
func (p processes) kill() {
	for _, process := range p {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
}

func running(ts *testscript.TestScript) processes {
	return ts.Value(processesKey{}).(processes)
}

// expandCommand replaces $NAME by the script's variable in each file.
func expandCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// startCommand starts a program in the background: name, program, arguments; its output goes to name.out and name.err.
func startCommand(ts *testscript.TestScript, _ bool, args []string) {
	process := command(ts, args[1:])
	stdout, err := os.Create(ts.MkAbs(args[0] + ".out"))
	ts.Check(err)
	stderr, err := os.Create(ts.MkAbs(args[0] + ".err"))
	ts.Check(err)
	process.Stdout, process.Stderr = stdout, stderr
	ts.Check(process.Start())
	running(ts)[args[0]] = process
}

// command returns a command that runs in the script's directory with the script's search path.
func command(ts *testscript.TestScript, args []string) *exec.Cmd {
	program := args[0]
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		candidate := filepath.Join(dir, args[0])
		_, err := os.Stat(candidate)
		if err == nil {
			program = candidate
			break
		}
	}
	process := exec.Command(program, args[1:]...)
	process.Dir = ts.MkAbs(".")
	process.Env = os.Environ()
	for _, name := range []string{"PATH", "KEELCTL_ENTRY", "KEELCTL_TOKEN"} {
		process.Env = append(process.Env, name+"="+ts.Getenv(name))
	}
	return process
}

func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(running(ts)[args[0]].Process.Signal(signals[args[1]]))
}

// joinCommand waits for a process to exit and fails unless it exits successfully; with ! in front, it must fail.
func joinCommand(ts *testscript.TestScript, neg bool, args []string) {
	process := running(ts)[args[0]]
	delete(running(ts), args[0])
	err := process.Wait()
	if (err != nil) != neg {
		ts.Fatalf("%s: %v\n%s%s", args[0], err, ts.ReadFile(args[0]+".out"), ts.ReadFile(args[0]+".err"))
	}
}

// untilCommand repeats a command until it succeeds, for at most the given number of seconds: seconds, program,
// arguments.
func untilCommand(ts *testscript.TestScript, _ bool, args []string) {
	seconds, err := strconv.Atoi(args[0])
	ts.Check(err)
	deadline := time.Now().Add(time.Duration(seconds) * time.Second)
	for {
		out, err := command(ts, args[1:]).CombinedOutput()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v: %v\n%s", args[1:], err, out)
		}
		time.Sleep(pollInterval)
	}
}

// dutyTaken holds the fields of the event DutyTaken that holderCommand reads.
type dutyTaken struct {
	Event int    `json:"event"`
	Duty  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
}

// holderCommand sets HOLDER to that one of two processes which acquired the duty last according to the logs, STANDBY to
// the other process, and NEXT_LINE to the number of the next line of the latter's log: duty, process, process.
func holderCommand(ts *testscript.TestScript, _ bool, args []string) {
	first := lastEpoch(ts.ReadFile(args[1]+".err"), args[0])
	second := lastEpoch(ts.ReadFile(args[2]+".err"), args[0])
	holder, standby := args[1], args[2]
	if second > first {
		holder, standby = standby, holder
	}
	ts.Setenv("HOLDER", holder)
	ts.Setenv("STANDBY", standby)
	ts.Setenv("NEXT_LINE", strconv.Itoa(strings.Count(ts.ReadFile(standby+".err"), "\n")+1))
}

func lastEpoch(log, duty string) uint64 {
	var last uint64
	for text := range strings.Lines(log) {
		var line dutyTaken
		err := json.Unmarshal([]byte(text), &line)
		if err == nil && line.Event == int(event.DutyTaken) && line.Duty == duty {
			last = max(last, line.Epoch)
		}
	}
	return last
}
