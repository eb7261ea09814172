package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/platform"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// Sizes of the deployment under test.
const (
	gatewayCount  = 3
	keyedBackends = 4
	onceBackends  = 3
	slots         = 4
	work          = 20 * time.Millisecond
	entryTTL      = 1500 * time.Millisecond
)

// world is the deployment: gateways as processes of their own, the store and the backend servers in this one.
type world struct {
	ledger   *Checker
	memory   *kv.MemoryStore
	gateways []*gateway
	backends []*backend
	closers  []func()

	// mu protects version.
	mu      sync.Mutex
	version int
}

const configText = `{"version":"r%d",
"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],
"rows":[["keyed","%s","%s","safe",1200,300,1,2,"keyed"],["once","%s","%s","unsafe",1200,300,0,2,"once"]]},
"services":{"columns":["name","healthPath","maxConns","sharded"],"rows":[["keyed","/healthz",100,true],["once","/healthz",100,null]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// newWorld starts a deployment whose files are in a directory.
func newWorld(directory, program string) (*world, error) {
	w := &world{ledger: NewChecker(), memory: kv.NewMemoryStore()}
	addr, err := w.serveStore()
	if err != nil {
		return w, err
	}
	if err := w.configure(); err != nil {
		return w, err
	}
	for i := range keyedBackends {
		if err := w.addBackend("keyed", i, true); err != nil {
			return w, err
		}
	}
	for i := range onceBackends {
		if err := w.addBackend("once", i, false); err != nil {
			return w, err
		}
	}
	for i := range gatewayCount {
		if err := w.addGateway(directory, program, addr, i); err != nil {
			return w, err
		}
	}
	return w, nil
}

// serveStore serves the store on a free port.
func (w *world) serveStore() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: standin.Store{Memory: w.memory}.Handler()}
	go func() {
		// It ends when the deployment does.
		_ = server.Serve(listener)
	}()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// configure writes the next version of the configuration.
func (w *world) configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	text := fmt.Sprintf(configText, w.version, testHost, keyedPath, testHost, oncePath)
	put := kv.Put{Key: platform.ConfigKey, Value: []byte(text)}
	_, err := w.memory.Commit(context.Background(), kv.Txn{Puts: []kv.Put{put}})
	return errors.Wrap(err, "write the configuration")
}

func (w *world) addBackend(service string, number int, sharded bool) error {
	b, err := startBackend(standin.ServerOptions{
		ID: fmt.Sprintf("%s-%d", service, number), Service: service, Zone: zone(number), Slots: slots, Sharded: sharded,
		ExecutionTime: work, Store: w.memory, EntryTTL: entryTTL, Observer: w.ledger,
	})
	if err != nil {
		return err
	}
	w.backends = append(w.backends, b)
	w.closers = append(w.closers, b.stop)
	return nil
}

func (w *world) addGateway(directory, program, store string, number int) error {
	proxy, err := NewProxy(store)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, proxy.Close)
	g, err := newGateway(directory, program, fmt.Sprintf("gateway-%d", number), zone(number), proxy)
	if err != nil {
		return err
	}
	if err := g.start(); err != nil {
		return err
	}
	w.gateways = append(w.gateways, g)
	w.closers = append(w.closers, g.kill)
	return nil
}

func zone(number int) string { return fmt.Sprintf("zone-%d", number%2) }

// close ends everything, gateways first.
func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}
