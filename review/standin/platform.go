package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/platform"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// world is one small deployment: a store, upstreams and gateways, all on loopback addresses.
type world struct {
	record    *record
	directory string
	program   string
	template  string
	// subnet is the first three numbers of the loopback addresses of the machines.
	subnet    string
	store     *kv.MemoryStore
	storeAddr string
	gateways  []*gateway

	// mu protects the fields below.
	mu        sync.Mutex
	upstreams []*upstream
	runs      map[string]int
	ends      map[string]time.Time
	arrivals  map[string]bool
	cleanups  []func()
}

// gateway is a process of the deploy file.
type gateway struct {
	name, ip, front, ready, settings string
	cmd                              *exec.Cmd
	exited                           chan struct{}
	// outOfRotation is set after two misses of the readiness check, until it answers 200 again.
	outOfRotation atomic.Bool
}

func newWorld(rec *record, root string) (*world, error) {
	directory, err := os.MkdirTemp("", "plank-review-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	w := &world{
		record: rec, directory: directory, program: filepath.Join(root, "target", "plank-entry"), template: string(template),
		subnet: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 10+os.Getpid()/200%200),
		store:  kv.NewMemoryStore(), runs: make(map[string]int), ends: make(map[string]time.Time), arrivals: make(map[string]bool),
	}
	w.cleanups = append(w.cleanups, func() { _ = os.RemoveAll(directory) })
	listener, err := net.Listen("tcp4", w.subnet+".2:0")
	if err != nil {
		return w, err
	}
	w.storeAddr = listener.Addr().String()
	handler := standin.Store{Memory: w.store}.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		// The pages in force know no such header.
		handler.ServeHTTP(withoutEra{writer}, r)
	})}
	go func() { _ = server.Serve(listener) }()
	w.cleanups = append(w.cleanups, func() { _ = server.Close() })
	return w, nil
}

// withoutEra leaves out the header of the store's era.
type withoutEra struct{ http.ResponseWriter }

func (w withoutEra) WriteHeader(status int) {
	w.Header().Del(platform.HeaderStoreEra)
	w.ResponseWriter.WriteHeader(status)
}

func (w *world) close() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
}

// put writes an item without a condition.
func (w *world) put(key, value string) {
	if _, err := w.store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		w.record.say("the store refused a write of %s: %v", key, err)
	}
}

func (w *world) remove(key string) {
	_, _ = w.store.Commit(context.Background(), kv.Txn{Deletes: []string{key}})
}

// configure writes a version of the configuration.
func (w *world) configure(text string) {
	w.record.say("the operator writes %s", text)
	w.put(platform.ConfigKey, text)
}

// startGateways starts the processes of the deploy file, each on a machine of its own.
func (w *world) startGateways(count int) error {
	front, err := freePort()
	if err != nil {
		return err
	}
	ready, err := freePort()
	if err != nil {
		return err
	}
	for i := range count {
		ip := fmt.Sprintf("%s.%d", w.subnet, 11+i)
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ip, front: net.JoinHostPort(ip, front),
			ready:    net.JoinHostPort(ip, ready),
			settings: filepath.Join(w.directory, fmt.Sprintf("edge-%d.ini", i+1)),
		}
		text := strings.NewReplacer(
			"{{node}}", g.name, "{{zone}}", zone(i), "{{ip}}", ip, "{{limits.memoryMb}}", "284", "{{limits.cpuShare}}", "0.32",
			"{{listen.front}}", g.front, "{{listen.ready}}", g.ready, "{{internalPorts}}", "7540,7555",
			"{{platform.addr}}", w.storeAddr, "{{platform.ttlMinMs}}", "1000", "{{bounds.drainMs}}", "2000",
			"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryWindowS}}", "10", "{{bounds.retrySlack}}", "60",
			"{{bounds.holdMaxMs}}", "10000", "{{bounds.graceS}}", "6",
		).Replace(w.template)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.start(w); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		w.cleanups = append(w.cleanups, g.kill)
	}
	return nil
}

// zone spreads machines and upstreams over two zones.
func zone(i int) string { return []string{"brno-hall", "olomouc"}[i%2] }

// start starts the process as the deploy file says. Its log stands beside the record.
func (g *gateway) start(w *world) error {
	log, err := os.OpenFile(filepath.Join(filepath.Dir(w.record.file.Name()), "log-"+g.name+".txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command(w.program)
	g.cmd.Env = []string{"SAPPHIREPLANK_NODE_FILE=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.directory, "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), g.cmd
	g.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.record.say("%s starts, front %s", g.name, g.front)
	return nil
}

// checkReadiness asks the gateways every second whether they are ready, as the platform does, until the context is done.
// After two misses a gateway gets no new connections.
func (w *world) checkReadiness(ctx context.Context) {
	for _, g := range w.gateways {
		go func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for misses := 0; ctx.Err() == nil; time.Sleep(time.Second) {
				response, err := client.Get("http://" + g.ready + platform.ReadyPath)
				if err == nil {
					_ = response.Body.Close()
				}
				if err == nil && response.StatusCode == http.StatusOK {
					misses = 0
				} else {
					misses++
				}
				if out := misses >= 2; out != g.outOfRotation.Swap(out) {
					w.record.say("%s in rotation: %v", g.name, !out)
				}
			}
		}()
	}
}

func (g *gateway) signal(signal syscall.Signal) { _ = g.cmd.Process.Signal(signal) }

func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.exited
}

// cpu returns the processor time that the process has used.
func (g *gateway) cpu() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const utime, stime, ticksPerSecond = 11, 12, 100
	if len(fields) <= stime {
		return 0
	}
	user, _ := strconv.Atoi(fields[utime])
	system, _ := strconv.Atoi(fields[stime])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// leader returns the gateway that is named in the leader record, or nil.
func (w *world) leader() *gateway {
	item, err := w.store.Get(context.Background(), "plank/leader")
	if err != nil {
		return nil
	}
	for _, g := range w.gateways {
		if strings.Contains(string(item.Value), strconv.Quote(g.name)) {
			return g
		}
	}
	return nil
}

func freePort() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}
