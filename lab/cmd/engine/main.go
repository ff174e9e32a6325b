// Command engine is a stand-in for a model engine.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/serve"
)

func main() {
	var arguments engine.Arguments
	arg.MustParse(&arguments)
	e := engine.New(arguments.Config(os.Exit))
	os.Exit(serve.Run(serve.Config{Listen: arguments.Listen, Handler: e.Handler(), Background: e.Run}))
}
