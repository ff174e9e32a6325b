package demo

import (
	"context"
	"fmt"
	"text/tabwriter"

	"toucanhinge.example/lab/pkg/fleet"
)

// Up starts the demo's fleet on fixed ports, configures it, and keeps it running until the
// context is cancelled.
func Up(ctx context.Context, config Config) error {
	folder, err := createRunFolder(config.Folder)
	if err != nil {
		return err
	}
	fleetConfig := FleetConfig(config.Bin, folder)
	fleetConfig.FixedPorts = true
	f, err := fleet.New(ctx, fleetConfig)
	if err != nil {
		return fmt.Errorf("start fleet: %w; logs are in %s", err, folder)
	}
	defer f.Close()
	table := tabwriter.NewWriter(config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "program\taddress\thealth and metrics")
	for _, n := range f.Nodes() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", n.Name, n.Address, n.AdminAddress)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(config.Output, "team %s has key %s; model %s, plain service %s; logs in %s; Ctrl-C stops the fleet\n",
		fleet.TeamName, fleet.TeamKey, fleet.Model, fleet.PlainService, folder)
	<-ctx.Done()
	_, _ = fmt.Fprintln(config.Output, "stopping gracefully")
	return f.Stop()
}
