package soak

import (
	"time"

	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// backend is a backend server behind a proxy. Its address stays the same through its lives.
type backend struct {
	options standin.ServerOptions
	proxy   *Proxy
	server  *standin.Server
}

func startBackend(options standin.ServerOptions) (*backend, error) {
	proxy, err := NewProxy("")
	if err != nil {
		return nil, err
	}
	options.Advertise = proxy.Addr()
	b := &backend{options: options, proxy: proxy}
	return b, b.start()
}

// start begins a life.
func (b *backend) start() error {
	server, err := standin.StartServer(b.options)
	if err != nil {
		return err
	}
	b.server = server
	b.proxy.SetTarget(server.Addr())
	return nil
}

// restart ends a life and begins another one after a pause.
func (b *backend) restart(pause time.Duration) error {
	b.server.Crash()
	time.Sleep(pause)
	return b.start()
}

func (b *backend) stop() {
	b.proxy.Close()
	b.server.Crash()
}
