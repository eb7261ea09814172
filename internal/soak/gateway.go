package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// gateway is a process of the program under test. It has its own ports and reaches the store through its own proxy.
type gateway struct {
	name         string
	program      string
	settingsPath string
	logPath      string
	// clientAddr is the address on which the gateway listens for clients.
	clientAddr string
	storeProxy *Proxy

	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

const settingsFormat = `[host]
name = %s
zone = %s
address = 127.0.0.1
memory_mb = 256
body_buffer_kb = %d
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
grace_s = 6
`

// stopGrace is the grace period of the settings.
const stopGrace = 6 * time.Second

// newGateway writes the settings file of a gateway. It does not start the process.
func newGateway(directory, program, name, zone string, bodyBufferKB int, storeProxy *Proxy) (*gateway, error) {
	var ports [3]string
	for i := range ports {
		port, err := standin.FreePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	g := &gateway{
		name:         name,
		program:      program,
		settingsPath: filepath.Join(directory, name+".ini"),
		logPath:      filepath.Join(directory, name+".log"),
		clientAddr:   "127.0.0.1:" + ports[0],
		storeProxy:   storeProxy,
	}
	text := fmt.Sprintf(settingsFormat, name, zone, bodyBufferKB, g.clientAddr, "127.0.0.1:"+ports[1], ports[2], ports[2], storeProxy.Addr())
	return g, errors.Wrap(os.WriteFile(g.settingsPath, []byte(text), 0o600), "write the gateway settings")
}

// start starts the process. The kernel kills it when the current process dies.
func (g *gateway) start() error {
	logFile, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the gateway log")
	}
	defer logFile.Close()
	g.cmd = exec.Command(g.program, "--settings", g.settingsPath)
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s; build the program first", g.program)
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		// The log shows why the process exited.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. An error means that the process has exited already.
func (g *gateway) signal(signal syscall.Signal) {
	_ = g.cmd.Process.Signal(signal)
}

// restart ends the process by a signal and starts it again after a delay.
func (g *gateway) restart(signal syscall.Signal, delay time.Duration) error {
	g.signal(signal)
	<-g.exited
	time.Sleep(delay)
	return g.start()
}

// kill kills the process and waits for it to exit.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.exited
}
