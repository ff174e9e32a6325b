// The gateway takes callers' requests at an entry VM and sends each to the
// endpoint that serves it best.
package main

import (
	"toucanhinge.example/common/pkg/program"
	"toucanhinge.example/gateway/pkg/app"
	"toucanhinge.example/gateway/pkg/config"
)

func main() {
	program.Program[config.Settings]{
		Description: "gateway: callers' HTTP surface of toucanhinge",
		Load:        config.Load,
		Run:         app.Run,
	}.Main()
}
