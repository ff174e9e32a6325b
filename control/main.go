// Control stores the durable state of toucanhinge on a few VMs with disks: the
// configuration, the members, the batch jobs and their results.
package main

import (
	"toucanhinge.example/common/pkg/program"
	"toucanhinge.example/control/pkg/app"
	"toucanhinge.example/control/pkg/config"
)

func main() {
	program.Program[config.Config]{
		Description: "control: the durable state of toucanhinge on a control VM",
		Load:        config.Load,
		Run:         app.Run,
	}.Main()
}
