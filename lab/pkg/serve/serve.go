// Package serve runs one stand-in's HTTP server until a termination signal.
package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopWait bounds a graceful stop; what then still runs is cut.
const stopWait = 10 * time.Second

// Config is what to serve and which duty to run beside it.
type Config struct {
	Listen  string
	Handler http.Handler
	// Background, when set, runs until its context ends.
	Background func(ctx context.Context)
}

// Run serves until SIGTERM or an interrupt and returns the exit code.
func Run(config Config) int {
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func run(config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(os.Stderr, "{\"msg\":\"ready\",\"address\":%q}\n", listener.Addr())
	signals, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	duty, stopDuty := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	if config.Background != nil {
		duties.Go(func() { config.Background(duty) })
	}
	server := &http.Server{Handler: config.Handler, ReadHeaderTimeout: stopWait}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err = <-served:
	case <-signals.Done():
		err = stop(server)
	}
	stopDuty()
	duties.Wait()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// stop lets running answers end, then cuts what is left.
func stop(server *http.Server) error {
	bounded, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	if err := server.Shutdown(bounded); err != nil {
		_ = server.Close()
		return fmt.Errorf("stop gracefully: %w", err)
	}
	return nil
}
