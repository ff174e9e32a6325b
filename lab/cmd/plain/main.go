// Command plain simulates a plain service.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/plain"
	"toucanhinge.example/lab/pkg/serve"
)

type arguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:9200" help:"host:port to serve on"`
	Name   string `arg:"--name" default:"plain" help:"name in responses"`
	LateMs int64  `arg:"--late-ms" help:"fault: delay each response by this many milliseconds"`
	Status int    `arg:"--status" help:"fault: return this HTTP status after the run"`
	Cut    bool   `arg:"--cut" help:"fault: close the connection after the run"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	s := plain.New(plain.Config{Name: a.Name, Faults: plain.Faults{LateMs: a.LateMs, Status: a.Status, Cut: a.Cut}})
	os.Exit(serve.Run(serve.Config{Listen: a.Listen, Handler: s.Handler()}))
}
