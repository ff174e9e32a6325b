// Command relay is a TCP relay that injects faults. PUT /faults sets the faults and
// POST /break closes the connections.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/relay"
	"toucanhinge.example/lab/pkg/serve"
)

const maxBodyBytes = 1 << 16

type arguments struct {
	Listen  string `arg:"--listen,required" help:"host:port to relay from"`
	Target  string `arg:"--target,required" help:"host:port to relay to"`
	Control string `arg:"--control,required" help:"host:port that serves PUT /faults and POST /break"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	r, err := relay.New(relay.Config{Listen: a.Listen, Target: a.Target})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := serve.Run(serve.Config{Listen: a.Control, Handler: handler(r)})
	r.Close()
	os.Exit(code)
}

func handler(r *relay.Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, request *http.Request) {
		var faults relay.Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBodyBytes)).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Set(faults)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /break", func(w http.ResponseWriter, _ *http.Request) {
		r.Break()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
