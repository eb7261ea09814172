package soak

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// noLimit is the limit of a server that does not limit its requests.
var noLimit = math.Inf(1)

// backend is a backend server behind a proxy. Its address does not change when the server restarts.
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
	options.Rate, options.Notices, options.Answers = &standin.RateCheck{}, &standin.Notices{}, &standin.AnswerFaults{}
	options.Silent = &atomic.Bool{}
	b := &backend{options: options, proxy: proxy}
	return b, b.start()
}

// start starts a new incarnation of the server.
func (b *backend) start() error {
	server, err := standin.StartServer(b.options)
	if err != nil {
		return err
	}
	b.server = server
	b.proxy.SetTarget(server.Addr())
	return nil
}

// restart crashes the server and starts it again after a delay.
func (b *backend) restart(delay time.Duration) error {
	b.server.Crash()
	b.options.Rate.Set(time.Now(), noLimit)
	b.options.Notices.Reset()
	time.Sleep(delay)
	return b.start()
}

func (b *backend) stop() {
	b.proxy.Close()
	b.server.Crash()
}
