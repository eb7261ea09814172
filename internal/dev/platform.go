package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"text/template"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// settingsDir is the directory for the settings files of gateways that run in separate processes.
const settingsDir = "out"

const (
	// settingsMode grants access to the owner only.
	settingsMode    = 0o600
	settingsDirMode = 0o755
)

var settingsTemplate = template.Must(template.New("settings").Parse(`[gateway]
host = {{.Host.Name}}
team = {{.Team}}
peer-address = {{.Host.PeerAddress}}
caller-address = {{.Host.CallerAddress}}
admin-address = {{.Host.AdminAddress}}
store = http://{{.Store}}
token-file = {{.TokenFile}}
{{range .Peers}}peer = {{.Name}}={{.PeerAddress}}
{{end}}`))

// servePlatform serves the simulated store over HTTP, runs the backend servers and writes one settings file per host.
func servePlatform(ctx context.Context, names []string, address string, seed uint64, out io.Writer) error {
	first, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "invalid --store-address %q; use an IP address and port", address)
	}
	for i, name := range names {
		storeAddress := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
		stop, err := startPlatform(name, storeAddress.String(), seed, out)
		if err != nil {
			return err
		}
		defer stop()
	}
	fmt.Fprintln(out, "start each gateway with plank-gateway --settings FILE; stop the platform with Ctrl-C")
	<-ctx.Done()
	return nil
}

func startPlatform(name, address string, seed uint64, out io.Writer) (func(), error) {
	c, err := examples.Config(name)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Name: name, Config: c, Store: store.NewMemoryStore(store.SystemClock{})}
	if err := d.writeInitialConfig(); err != nil {
		return nil, err
	}
	if d.servers, err = startServers(c, new(ExecutionLog), meanRunTime, seed); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.servers.close()
		return nil, errors.Wrap(err, "listen for the store; choose another --store-address")
	}
	server := &http.Server{Handler: store.NewHandler(d.Store), ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(listener) }()
	fmt.Fprintf(out, "%s: store http://%s\n", name, address)
	stop := func() {
		_ = server.Close()
		d.servers.close()
	}
	if err := writeSettings(c, address, out); err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}

// settingsValues holds the values for settingsTemplate.
type settingsValues struct {
	Team      string
	Store     string
	TokenFile string
	Host      config.Host
	Peers     []config.Host
}

func writeSettings(c *config.Config, storeAddress string, out io.Writer) error {
	if err := os.MkdirAll(settingsDir, settingsDirMode); err != nil {
		return errors.Wrap(err, "create the directory for settings")
	}
	tokenFile := filepath.Join(settingsDir, c.Team+".tokens")
	if err := os.WriteFile(tokenFile, []byte(tokenLine(c.Team)), settingsMode); err != nil {
		return errors.Wrap(err, "write the token file")
	}
	for _, host := range c.Hosts {
		name := filepath.Join(settingsDir, host.Name+".ini")
		values := settingsValues{Team: c.Team, Store: storeAddress, TokenFile: tokenFile, Host: host, Peers: otherHosts(c, host.Name)}
		if err := writeSettingsFile(name, values); err != nil {
			return err
		}
		fmt.Fprintf(out, "  %s\n", name)
	}
	return nil
}

func writeSettingsFile(name string, values settingsValues) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, settingsMode)
	if err != nil {
		return errors.Wrap(err, "write settings")
	}
	defer file.Close()
	return settingsTemplate.Execute(file, values)
}

func otherHosts(c *config.Config, self string) []config.Host {
	var hosts []config.Host
	for _, host := range c.Hosts {
		if host.Name != self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
