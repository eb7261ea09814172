package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/cli"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/questionnaire/questionnairetest"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

var testTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// gateway is the administration API of one gateway over a store with one value.
type gateway struct {
	store.Store
	accept.Accepter
	entry store.Entry
	// faults are what the next writes meet: "lost" or "down".
	faults []string
	asked  int
}

func (g *gateway) Get(context.Context, string) (store.Entry, error) {
	if g.entry.Version == 0 {
		return g.entry, store.ErrNotFound
	}
	return g.entry, nil
}

func (g *gateway) CompareAndSwap(_ context.Context, key string, version uint64, value []byte) (store.Entry, error) {
	fault := ""
	if len(g.faults) > 0 {
		fault, g.faults = g.faults[0], g.faults[1:]
	}
	if version != g.entry.Version {
		return store.Entry{}, store.ErrConflict
	}
	if fault != "down" {
		g.entry = store.Entry{Key: key, Value: value, Version: version + 1}
	}
	if fault != "" {
		return store.Entry{}, store.ErrUnavailable
	}
	return g.entry, nil
}

func (g *gateway) Status(context.Context, string) (*admin.Status, error) {
	return &admin.Status{Team: "my-team", Host: "zone-a-h01", Revision: g.entry.Version,
		Hosts:    []admin.HostStatus{{Name: "zone-a-h01", Zone: "zone-a", Cell: "zone-a-c01", State: admin.StateUp}, {Name: "zone-b-h02", State: admin.StateDown}},
		Cells:    []admin.CellStatus{{Name: "zone-a-c01", Term: 1, Holder: "zone-a-h01"}},
		Services: []admin.ServiceStatus{{Name: "lookup", Servers: []admin.ServerStatus{{Name: "lookup-zone-a-s01", State: admin.StateLeaving}}}}}, nil
}

func (g *gateway) Owner(_ context.Context, _, service, key string) (*admin.Ownership, error) {
	if key != "a/b" {
		return nil, admin.ErrNotFound
	}
	return &admin.Ownership{Service: service, Key: key, Partition: 7, Server: "lookup-zone-a-s01", Token: "1.1.1"}, nil
}

// StopProgress answers with another state each time.
func (g *gateway) StopProgress(ctx context.Context, team string) ([]admin.StopProgress, error) {
	current, err := g.Current(ctx, team)
	if err != nil {
		return nil, err
	}
	var progress []admin.StopProgress
	states := []admin.StopState{admin.StopAnnounced, admin.StopDraining, admin.StopDraining, admin.StopEmpty}
	for _, stop := range current.Stops {
		state := states[min(g.asked, len(states)-1)]
		progress = append(progress, admin.StopProgress{Target: stop.Target, At: stop.At, ForSeconds: stop.ForSeconds, State: state, Homes: max(0, 3-g.asked)})
	}
	g.asked++
	return progress, nil
}

func (g *gateway) Explain(_ context.Context, _, request string) (*admin.Explanation, error) {
	return &admin.Explanation{Request: request, Outcome: "ran", Summary: "answered", Events: []timeline.Event{{Kind: "home/dispatched", Host: "zone-a-h01"}}}, nil
}

// drawn is the number of ids that the tests have drawn.
var drawn int

// run executes one command line and returns its output and exit code.
func run(t *testing.T, env map[string]string, terminal bool, args ...string) (stdout, stderr string, code int) {
	var out, errs bytes.Buffer
	p := &Program{Stdout: &out, Stderr: &errs, IsTerminal: terminal, HTTP: New().HTTP,
		Getenv: func(name string) string { return env[name] },
		Now:    func() time.Time { return testTime },
		NewID:  func() string { drawn++; return fmt.Sprint("new-id-", drawn) },
		Sleep:  func(context.Context, time.Duration) error { return nil }}
	code = p.Run(t.Context(), args)
	return out.String(), errs.String(), code
}

func startGateway(t *testing.T) (*gateway, string) {
	g := &gateway{}
	g.Accepter = accept.Accepter{Store: g, Now: func() time.Time { return testTime }, HostResponds: func(h config.Host) bool { return h.Name != "zone-b-h02" }}
	tokens, err := admin.ReadTokens(strings.NewReader(fmt.Sprintf("anna my-team operator %x", sha256.Sum256([]byte("secret")))))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(t.Output())
	server := httptest.NewServer(admin.New(admin.Sources{Config: g, Status: g, Owners: g, Stops: g, Explain: g}, tokens, timeline.Discard{}, log))
	t.Cleanup(server.Close)
	return g, server.Listener.Addr().String()
}

// Guards against changes of what operators and their scripts see: texts, exit codes, conflicts, and repeats after
// lost answers.
func TestOperatorsSession(t *testing.T) {
	path, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	g, address := startGateway(t)
	datadriven.RunTest(t, path+"/testdata/session", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "edit":
			file, edit, _ := strings.Cut(d.Input, ": ")
			before, after, _ := strings.Cut(edit, " => ")
			text, _ := os.ReadFile(file)
			if err := os.WriteFile(file, []byte(strings.Replace(string(text), before, after, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			return ""
		case "faults":
			g.faults = strings.Fields(d.Input)
			return ""
		}
		env := map[string]string{"PLANK_TOKEN": "secret"}
		args := append([]string{"--gateway", address, "--team", "my-team"}, strings.Fields(d.Input)...)
		stdout, stderr, code := run(t, env, d.HasArg("terminal"), args...)
		stdout = strings.ReplaceAll(stdout, "\x1b", "^")
		return fmt.Sprintf("%s%sexit %d\n", stdout, stderr, code)
	})
}

// Guards against bad questionnaires that leave a file, print anything but one clear line, or exit with 0 or 2.
func TestBadQuestionnairesWriteNothing(t *testing.T) {
	t.Chdir(t.TempDir())
	for _, bad := range questionnairetest.InvalidCases {
		if err := os.WriteFile("bad.ini", bad.Text(), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, args := range [][]string{{"check", "bad.ini"}, {"generate", "bad.ini", "-o", "out.json"}, {"generate", "bad.ini"}} {
			stdout, stderr, code := run(t, nil, false, args...)
			files, _ := os.ReadDir(".")
			if code != cli.ExitFailure || stdout != "" || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, bad.WantFault) || len(files) != 1 {
				t.Errorf("%v with %s: exit %d, %d files, %s%s", args, bad.WantFault, code, len(files), stdout, stderr)
			}
		}
	}
}

// Guards against wrong usage that is taken for a failure, and against options that lose their unit or default.
func TestUsage(t *testing.T) {
	t.Chdir(t.TempDir())
	for _, name := range []string{examples.Moravia, examples.Kyushu} {
		text, err := examples.Text(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name+".ini", text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile("token", []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, address := startGateway(t)
	cases := []struct {
		line string
		code int
		want string
	}{
		{"", cli.ExitUsage, "name a command"},
		{"frobnicate", cli.ExitUsage, "no command \"frobnicate\""},
		{"check", cli.ExitUsage, "required argument"},
		{"check a b", cli.ExitUsage, "one argument too many"},
		{"status extra", cli.ExitUsage, "one argument too many"},
		{"--speed status", cli.ExitUsage, "unknown flag"},
		{"status", cli.ExitUsage, "no gateway"},
		{"--gateway 127.0.0.1:1 status", cli.ExitUsage, "no team"},
		{"--gateway 127.0.0.1:1 --team x status", cli.ExitUsage, "no token"},
		{"--gateway 127.0.0.1:1 --team x --token-file none status", cli.ExitFailure, "name a readable file"},
		{"--gateway 127.0.0.1:1 --team x --token-file token status", cli.ExitFailure, "the gateway does not answer"},
		{"--gateway " + address + " --team other --token-file token status", cli.ExitFailure, "belongs to another team"},
		{"--gateway " + address + " --token-file token accept kyushu.ini", cli.ExitFailure, "belongs to another team"},
		{"--team x stop announce h --at noon --for 1m", cli.ExitUsage, "is not a time"},
		{"--team x stop announce h --at now --for 1.5s", cli.ExitUsage, "whole seconds"},
		{"--team x stop announce h --for 1m", cli.ExitUsage, "--at"},
		{"check none.ini", cli.ExitFailure, "name a readable file"},
		{"check moravia.ini", cli.ExitOK, "4 zones, 12 hosts, 3 services, 34 backend servers"},
		{"check kyushu.ini", cli.ExitOK, "4 zones, 10 hosts, 3 services, 38 backend servers"},
		{"generate kyushu.ini -o none/out.json", cli.ExitFailure, "name a directory that can be written"},
		{"generate moravia.ini --explain", cli.ExitOK, "service tracker: capacity = 48 requests at a time"},
		{"--json check kyushu.ini", cli.ExitOK, `"faults": []`},
		{"--json check token", cli.ExitFailure, `"faults":[{"section":"questionnaire"`},
		{"diff moravia.ini --against moravia.ini", cli.ExitOK, "no change"},
		{"init moravia.ini", cli.ExitFailure, "moravia.ini exists"},
		{"init -", cli.ExitOK, "[team]"},
		{"--version", cli.ExitOK, "plankctl "},
		{"--help", cli.ExitOK, "with a unit such as 500ms or 10s (default:"},
		{"stop announce --help", cli.ExitOK, "whole seconds, at most 168h"},
		{"accept --help", cli.ExitOK, "at most 400 bytes. Default: the difference"},
	}
	for _, c := range cases {
		stdout, stderr, code := run(t, nil, false, strings.Fields(c.line)...)
		if text := strings.Join(strings.Fields(stdout+stderr), " "); code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%q: exit %d, %s", c.line, code, text)
		}
	}
}
