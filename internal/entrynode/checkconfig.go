package entrynode

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/cli"
	"github.com/sapphireplank/sapphireplank/internal/configcheck"
	"github.com/sapphireplank/sapphireplank/internal/controller"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// checkConfig checks a configuration, and compares it with the one in force if that is given. It prints the findings, as JSON
// if asked to, and fails if one of them is an error.
func checkConfig(p cli.Program, options commandLine, decoder controller.EntryDecoder) int {
	next, err := readConfig(options.CheckConfig, decoder)
	if err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	findings := append([]configcheck.Finding{}, configcheck.Check(next)...)
	if options.InForce != "" {
		inForce, err := readConfig(options.InForce, decoder)
		if err != nil {
			return p.Fail(err, cli.ExitFailure)
		}
		findings = append(findings, configcheck.Diff(inForce, next)...)
	}
	if err := printFindings(p, findings, options.JSON); err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	if configcheck.HasErrors(findings) {
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func readConfig(path string, decoder controller.EntryDecoder) (*routing.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	config, err := decoder.DecodeConfig(text)
	return config, errors.Wrapf(err, "%s", path)
}

func printFindings(p cli.Program, findings []configcheck.Finding, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(findings)
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(p.Out, f); err != nil {
			return err
		}
	}
	return nil
}
