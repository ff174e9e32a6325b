// Command weights simulates the rate-limited weight store.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/serve"
	"toucanhinge.example/lab/pkg/weights"
)

type arguments struct {
	Listen         string `arg:"--listen" default:"127.0.0.1:9500" help:"host:port to serve on"`
	BytesPerSecond int64  `arg:"--bytes-per-second" default:"4194304" help:"bytes per second shared by all fetches"`
	Size           int64  `arg:"--size" default:"4194304" help:"bytes of the weights of each model"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	s := weights.New(weights.Config{BytesPerSecond: a.BytesPerSecond, Size: a.Size})
	os.Exit(serve.Run(serve.Config{Listen: a.Listen, Handler: s.Handler()}))
}
