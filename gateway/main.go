// Gateway accepts HTTP requests of callers and forwards each to the endpoint selected for it.
package main

import (
	"toucanhinge.example/common/pkg/program"
	"toucanhinge.example/gateway/pkg/app"
	"toucanhinge.example/gateway/pkg/config"
)

func main() {
	program.Program[config.Settings]{
		Description: "gateway: HTTP API of toucanhinge for callers",
		Load:        config.Load,
		Run:         app.Run,
	}.Main()
}
