package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// gateway is one process of the program under test on ports of its own. The store is behind a proxy of its own.
type gateway struct {
	name     string
	program  string
	settings string
	log      string
	callers  string
	store    *Proxy

	process *exec.Cmd
	ended   chan struct{}
}

const settingsText = `[host]
name = %s
zone = %s
address = 127.0.0.1
memory_mb = 256
cores = 1
[listen]
callers = %s
readiness = %s
internal_ports = %s,%s
[store]
address = %s
[servers]
drain_ms = 2000
[retries]
ratio = 0.2
slack = 60
[stop]
grace_s = 3
`

// newGateway writes the settings of a gateway.
func newGateway(directory, program, name, zone string, store *Proxy) (*gateway, error) {
	var ports [3]string
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	g := &gateway{
		name:     name,
		program:  program,
		settings: filepath.Join(directory, name+".ini"),
		log:      filepath.Join(directory, name+".log"),
		callers:  "127.0.0.1:" + ports[0],
		store:    store,
	}
	text := fmt.Sprintf(settingsText, name, zone, g.callers, "127.0.0.1:"+ports[1], ports[2], ports[2], store.Addr())
	return g, errors.Wrap(os.WriteFile(g.settings, []byte(text), 0o600), "write settings")
}

// freePort returns a port that was free a moment ago.
func freePort() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

// start starts the process. It ends with this one.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	g.process = exec.Command(g.program, "--settings", g.settings)
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return errors.Wrapf(err, "start %s; build it first", g.program)
	}
	ended := make(chan struct{})
	g.ended = ended
	process := g.process
	go func() {
		// How it ended shows in its log.
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, unless it has ended.
func (g *gateway) signal(signal syscall.Signal) {
	_ = g.process.Process.Signal(signal)
}

// restart ends the process by a signal and starts it again after a pause.
func (g *gateway) restart(signal syscall.Signal, pause time.Duration) error {
	g.signal(signal)
	<-g.ended
	time.Sleep(pause)
	return g.start()
}

// kill ends the process for good.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
}
