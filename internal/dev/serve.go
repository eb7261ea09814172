package dev

import (
	"context"
	"fmt"
	"io"
)

// serve prints the addresses of all gateways and waits for the end of ctx.
func serve(ctx context.Context, deployments []*Deployment, out io.Writer) error {
	for _, d := range deployments {
		fmt.Fprintf(out, "%s (team %s)\n", d.Name, d.Config.Team)
		for _, host := range d.Config.Hosts {
			fmt.Fprintf(out, "  %s\tcallers http://%s\toperators http://%s\n", host.Name, host.CallerAddress, host.AdminAddress)
		}
	}
	fmt.Fprintln(out, "serving; end with Ctrl-C")
	<-ctx.Done()
	return nil
}
