package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/platform"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// Environment of a case: whether there is trouble, the gateway program and the record.
type environment struct {
	trouble bool
	program string
	dir     string
	started time.Time

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record.
func (e *environment) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f s  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, args...))
}

// store is the stand-in of the platform's store.
type store struct {
	memory *kv.MemoryStore
	addr   string
	server *http.Server
}

// startStore serves a store on a loopback address.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{memory: kv.NewMemoryStore(), addr: listener.Addr().String()}
	s.server = &http.Server{Handler: standin.Store{Memory: s.memory}.Handler()}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an item without a condition.
func (s *store) put(key, value string) error {
	_, err := s.memory.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte(value)}}})
	return err
}

// register writes the entry of an upstream.
func (s *store) register(id, service, addr string, slots int, born int64, seq int) error {
	return s.put(platform.ServersPrefix+id, fmt.Sprintf(
		`{"service":%q,"addr":%q,"zone":"zone-a","version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"seq":%d,"born":%d}`,
		service, addr, slots, seq, born))
}

// settings fill in deploy/settings.ini.tmpl with the figures of a small deployment.
var settings = map[string]string{
	"zone": "zone-a", "ip": "127.0.0.1", "limits.memoryMb": "284", "limits.cpuShare": "1",
	"platform.ttlMinMs": "1000", "bounds.drainMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.retryWindowS": "10",
	"bounds.retrySlack": "64", "bounds.holdMaxMs": "10000", "bounds.graceS": "6",
}

// gateway is one process of the program of the deploy file.
type gateway struct {
	e           *environment
	name        string
	front       string
	ready       string
	settingFile string
	command     *exec.Cmd
	done        chan struct{}
	log         *os.File
}

// newGateway writes the settings of a gateway.
func (e *environment) newGateway(name, storeAddr string) (*gateway, error) {
	template, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		return nil, err
	}
	var ports [3]string
	for i := range ports {
		if ports[i], err = standin.FreePort(); err != nil {
			return nil, err
		}
	}
	g := &gateway{e: e, name: name, front: "127.0.0.1:" + ports[0], ready: "127.0.0.1:" + ports[1]}
	values := map[string]string{
		"node": name, "listen.front": g.front, "listen.ready": g.ready, "internalPorts": ports[2] + "," + ports[2],
		"platform.addr": storeAddr,
	}
	text := string(template)
	for _, table := range []map[string]string{settings, values} {
		for key, value := range table {
			text = strings.ReplaceAll(text, "{{"+key+"}}", value)
		}
	}
	for strings.Contains(text, "{{") {
		// The platform returns nothing for a value that it does not have.
		before, rest, _ := strings.Cut(text, "{{")
		_, after, _ := strings.Cut(rest, "}}")
		text = before + after
	}
	g.settingFile = filepath.Join(e.dir, name+".ini")
	return g, os.WriteFile(g.settingFile, []byte(text), 0o600)
}

// start starts the process.
func (g *gateway) start() error {
	var err error
	if g.log == nil {
		if g.log, err = os.Create(filepath.Join(g.e.dir, g.name+".log")); err != nil {
			return err
		}
	}
	g.command = exec.Command(g.e.program)
	g.command.Env = append(os.Environ(), "SAPPHIREPLANK_NODE_FILE="+g.settingFile)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(g.command, g.done)
	g.e.logf("%s started", g.name)
	return nil
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		response, err := client.Get("http://" + g.ready + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// kill ends the process.
func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
		<-g.done
	}
}
