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
	gatewayCount      = 3
	keyedBackendCount = 4
	onceBackendCount  = 3
	slotsPerBackend   = 4
	runTime           = 20 * time.Millisecond
	serverEntryTTL    = 1500 * time.Millisecond

	// The slow service has too little room for its clients, so gateways queue their requests.
	slowBackendCount = 2
	slowRunTime      = 300 * time.Millisecond
	longRunTime      = 4400 * time.Millisecond
)

// bodyBuffersKB are the lengths in KB up to which the gateways hold bodies: some uploads are held whole, and of others the held part
// is still being written, or has been, when their server rejects them.
var bodyBuffersKB = [gatewayCount]int{16, 1024, 2048}

// deployment is the system under test. The gateways are separate processes; the store and the backend servers run in
// the current process.
type deployment struct {
	checker  *Checker
	store    *kv.MemoryStore
	gateways []*gateway
	backends []*backend
	// single is the only backend server of its service.
	single *backend
	// cleanups release resources. They run in reverse order.
	cleanups []func()

	// mu protects the fields below.
	mu            sync.Mutex
	configVersion int
	// copies are the last copies of the store, the latest last.
	copies []kv.Copy
}

const configFormat = `{"version":"r%d",
"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],
"rows":[["keyed","%s","%s","safe",1200,300,1,2,"keyed"],["once","%s","%s","unsafe",1200,300,0,2,"once"],
["single","%s","%s","unsafe",1200,300,0,2,"single"],["slow","%s","%s","safe",8000,1500,1,2,"slow"],["other","%s","%s","safe",1200,300,1,2,"empty"]]},
"services":{"columns":["name","healthPath","maxConns","sharded"],"rows":[["keyed","/healthz",100,true],["once","/healthz",100,null],["single","/healthz",100,null],["slow","/healthz",100,null],["empty","/healthz",100,null]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":9000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// newDeployment starts a deployment that keeps settings and logs in a directory. The caller must close the deployment
// that is returned, even on an error.
func newDeployment(directory, program string) (*deployment, error) {
	d := &deployment{checker: NewChecker(), store: kv.NewMemoryStore()}
	storeAddr, err := d.serveStore()
	if err != nil {
		return d, err
	}
	if err := d.publishConfig(); err != nil {
		return d, err
	}
	for i := range keyedBackendCount {
		if err := d.addBackend("keyed", i, true); err != nil {
			return d, err
		}
	}
	for i := range onceBackendCount {
		if err := d.addBackend("once", i, false); err != nil {
			return d, err
		}
	}
	if err := d.addBackend("single", 0, false); err != nil {
		return d, err
	}
	d.single = d.backends[len(d.backends)-1]
	for i := range slowBackendCount {
		if err := d.addBackend(slowService, i, false); err != nil {
			return d, err
		}
	}
	for i := range gatewayCount {
		if err := d.addGateway(directory, program, storeAddr, i); err != nil {
			return d, err
		}
	}
	return d, nil
}

// serveStore serves the store over HTTP on a free port and returns the address.
func (d *deployment) serveStore() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: standin.Store{Memory: d.store}.Handler()}
	go func() {
		// Serve returns when the server is closed together with the deployment.
		_ = server.Serve(listener)
	}()
	d.cleanups = append(d.cleanups, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// publishConfig writes the next version of the configuration to the store.
func (d *deployment) publishConfig() error { return d.publishConfigWith(unusedPath) }

// publishConfigWith writes the next version, with a route for a path that the clients do not use.
func (d *deployment) publishConfigWith(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion++
	text := fmt.Sprintf(configFormat, d.configVersion, testHost, keyedPath, testHost, oncePath, testHost, singlePath, testHost, slowPath, testHost, path)
	put := kv.Put{Key: platform.ConfigKey, Value: []byte(text)}
	_, err := d.store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{put}})
	return errors.Wrap(err, "write the configuration")
}

func (d *deployment) addBackend(service string, index int, sharded bool) error {
	options := standin.ServerOptions{
		ID: fmt.Sprintf("%s-%d", service, index), Service: service, Zone: zoneName(index), Slots: slotsPerBackend, Sharded: sharded,
		RunTime: runTime, Store: d.store, EntryTTL: serverEntryTTL, Observer: d.checker,
		ResetWhenFull: index%2 == 1,
	}
	if service == slowService {
		options.RunTime, options.LongRunTime, options.ResetWhenFull = slowRunTime, longRunTime, false
	}
	b, err := startBackend(options)
	if err != nil {
		return err
	}
	d.backends = append(d.backends, b)
	d.cleanups = append(d.cleanups, b.stop)
	return nil
}

func (d *deployment) addGateway(directory, program, storeAddr string, index int) error {
	proxy, err := NewProxy(storeAddr)
	if err != nil {
		return err
	}
	d.cleanups = append(d.cleanups, proxy.Close)
	g, err := newGateway(directory, program, fmt.Sprintf("gateway-%d", index), zoneName(index), bodyBuffersKB[index], proxy)
	if err != nil {
		return err
	}
	if err := g.start(); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	d.cleanups = append(d.cleanups, g.kill)
	return nil
}

// zoneName distributes the components over two availability zones.
func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%2) }

// close stops the deployment, gateways first.
func (d *deployment) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}
