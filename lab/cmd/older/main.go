// Command older simulates the legacy serving system: a whole fleet behind one address, with
// the API of the engines under /v1 and a ledger.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/serve"
)

// fleetSlots is the number of slots of a small fleet of engines.
const fleetSlots = 64

type arguments struct {
	Listen string  `arg:"--listen" default:"127.0.0.1:9400" help:"host:port to serve on"`
	Model  string  `arg:"--model" default:"small" help:"name of the served model"`
	Speed  float64 `arg:"--speed" default:"1" help:"factor by which all simulated times are divided"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	e := engine.New(engine.Config{
		Name: "older", Model: a.Model, Slots: fleetSlots, Timing: engine.Timing{Speed: a.Speed}, Exit: os.Exit,
	})
	os.Exit(serve.Run(serve.Config{Listen: a.Listen, Handler: e.Handler(), Background: e.Run}))
}
