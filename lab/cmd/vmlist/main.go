// Command vmlist simulates the VM list of the platform.
package main

import (
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/serve"
	"toucanhinge.example/lab/pkg/vmlist"
)

type arguments struct {
	Listen string   `arg:"--listen" default:"127.0.0.1:9300" help:"host:port to serve on"`
	LagMs  int64    `arg:"--lag-ms" default:"1000" help:"milliseconds until an update is visible"`
	VMs    []string `arg:"--vm,separate" help:"name of a VM that is initially live; may be repeated"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	config := vmlist.Config{Lag: time.Duration(a.LagMs) * time.Millisecond}
	for _, name := range a.VMs {
		config.VMs = append(config.VMs, vmlist.VM{Name: name, State: vmlist.StateLive})
	}
	os.Exit(serve.Run(serve.Config{Listen: a.Listen, Handler: vmlist.New(config).Handler()}))
}
