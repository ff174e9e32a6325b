package demo

import (
	"context"
	"fmt"
	"text/tabwriter"

	"toucanhinge.example/lab/pkg/fleet"
)

// Up starts the demo's fleet on fixed ports, configures it, and leaves it
// running until the context ends.
func Up(ctx context.Context, config Config) error {
	folder, err := freshFolder(config.Folder)
	if err != nil {
		return err
	}
	layout := FleetConfig(config.Bin, folder)
	layout.FixedPorts = true
	f, err := fleet.New(ctx, layout)
	if err != nil {
		return fmt.Errorf("start the fleet: %w; logs are in %s", err, folder)
	}
	defer f.Close()
	table := tabwriter.NewWriter(config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "program\taddress\thealth and metrics")
	for _, n := range f.Nodes() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", n.Name, n.Address, n.AdminAddress)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(config.Output, "team %s has key %s; model %s, plain service %s; logs in %s; Ctrl-C stops all\n",
		fleet.TeamName, fleet.TeamKey, fleet.Model, fleet.PlainService, folder)
	<-ctx.Done()
	_, _ = fmt.Fprintln(config.Output, "stopping gracefully")
	return f.Stop()
}
