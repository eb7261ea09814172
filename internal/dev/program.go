package dev

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/cli"
	"github.com/sapphireplank/sapphireplank/internal/logging"
)

// eventDirMode grants write access to the owner only and read access to everyone.
const eventDirMode = 0o755

// readyTimeout limits the time in which all deployments must become ready, and the time in which the served store reads
// the header of a request.
const readyTimeout = 15 * time.Second

// commandFlags holds the command-line options.
type commandFlags struct {
	Duration time.Duration `long:"duration" default:"10s" description:"length of the run, as a duration with unit (10s, 1m)"`
	//lint:ignore SA5008 go-flags reads one choice tag per value
	Deployment   []string `long:"deployment" choice:"moravia" choice:"kyushu" description:"deployment to run; can be repeated (default: both)"`
	Scale        float64  `long:"scale" default:"0.1" description:"load relative to the slot capacity of the backend servers, without unit"`
	Heavy        float64  `long:"heavy" default:"1" description:"load of the heavy subscriber on the first service, relative to the scaled capacity, without unit"`
	Seed         uint64   `long:"seed" default:"1" description:"seed of the random number generators of clients and backend servers"`
	Serve        bool     `long:"serve" description:"print the addresses and run until SIGINT or SIGTERM"`
	Load         bool     `long:"load" description:"with --serve: also send load, without failures, and print the report at the end"`
	Platform     bool     `long:"platform" description:"run only the store and the backend servers, for gateways in separate processes"`
	StoreAddress string   `long:"store-address" default:"127.0.0.1:7400" description:"with --platform: IP address and port of the first store; each further deployment takes the next port"`
	Events       string   `long:"events" description:"directory for the event logs of all gateways, one file of JSON lines per host (default: none)"`
	LogLevels    string   `long:"log" default:"error" description:"log levels, as LEVEL or COMPONENT=LEVEL, separated by commas"`
	Version      bool     `long:"version" description:"print the version and exit"`
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var f commandFlags
	p := cli.Program{Name: "plank-dev", Out: out, Err: errOut}
	if code, ended := p.ParseOnly(args, &f, &f.Version); ended {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violated, err := run(ctx, f, out)
	if err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	if violated {
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func run(ctx context.Context, f commandFlags, out io.Writer) (bool, error) {
	levels, err := logging.ParseLevels(f.LogLevels)
	if err != nil {
		return false, err
	}
	if f.Events != "" {
		if err := os.MkdirAll(f.Events, eventDirMode); err != nil {
			return false, errors.Wrap(err, "create the directory for events; choose another --events")
		}
	}
	names := f.Deployment
	if len(names) == 0 {
		names = []string{examples.Moravia, examples.Kyushu}
	}
	logs := logging.New(os.Stderr, levels)
	if f.Platform {
		return false, servePlatform(ctx, names, f.StoreAddress, f.Seed, out)
	}
	deployments, err := startDeployments(ctx, names, logs, f.Events, f.Seed)
	defer closeDeployments(deployments)
	if err != nil {
		return false, err
	}
	if f.Serve {
		return serve(ctx, f, deployments, out), nil
	}
	return runLoad(ctx, f, deployments, out), nil
}

func startDeployments(ctx context.Context, names []string, logs *logging.Loggers, events string, seed uint64) ([]*Deployment, error) {
	var deployments []*Deployment
	for _, name := range names {
		c, err := examples.Config(name)
		if err != nil {
			return deployments, err
		}
		d, err := StartDeployment(name, c, logs, events, seed)
		if err != nil {
			return deployments, err
		}
		deployments = append(deployments, d)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range deployments {
		if err := d.WaitReady(ctx); err != nil {
			return deployments, err
		}
	}
	return deployments, nil
}

func closeDeployments(deployments []*Deployment) {
	for _, d := range deployments {
		d.Close()
	}
}
