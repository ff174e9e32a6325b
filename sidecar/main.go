// The sidecar stands before one model engine or plain service: the only way of
// the system to it.
package main

import (
	"toucanhinge.example/common/pkg/program"
	"toucanhinge.example/sidecar/pkg/app"
	"toucanhinge.example/sidecar/pkg/config"
)

func main() {
	program.Program[config.Settings]{
		Description: "sidecar: the way of toucanhinge to one engine or plain service",
		Load:        config.Load,
		Run:         app.Run,
	}.Main()
}
