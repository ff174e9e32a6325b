package fleet

import (
	"fmt"

	"toucanhinge.example/lab/pkg/process"
)

// First port of each kind of process with Config.FixedPorts, as listed in the README.
const (
	portVMList       = 7000
	portControl      = 7001
	portGateway      = 8001
	portGatewayAdmin = 8101
	portSidecar      = 9001
	portSidecarAdmin = 9101
	portEngine       = 9201
	portPlain        = 9301
)

// nodeAddress returns the address of the i-th process of a kind: with fixed ports first+i, else any free port.
func (f *Fleet) nodeAddress(first, i int) (string, error) {
	if f.Config.FixedPorts {
		return fmt.Sprintf("127.0.0.1:%d", first+i), nil
	}
	address, err := process.FreeAddress()
	if err != nil {
		return "", fmt.Errorf("find free address: %w", err)
	}
	return address, nil
}

// nodeAddresses returns one address for calls and one for health and metrics.
func (f *Fleet) nodeAddresses(first, firstAdmin, i int) (address, admin string, err error) {
	if address, err = f.nodeAddress(first, i); err != nil {
		return "", "", err
	}
	admin, err = f.nodeAddress(firstAdmin, i)
	return address, admin, err
}
