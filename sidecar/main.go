// The sidecar runs beside one model engine or plain service. All requests of the system to
// that engine or service go through the sidecar.
package main

import (
	"toucanhinge.example/common/pkg/program"
	"toucanhinge.example/sidecar/pkg/app"
	"toucanhinge.example/sidecar/pkg/config"
)

func main() {
	program.Program[config.Settings]{
		Description: "sidecar: connects toucanhinge to one engine or plain service",
		Load:        config.Load,
		Run:         app.Run,
	}.Main()
}
