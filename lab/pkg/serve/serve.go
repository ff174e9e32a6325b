// Package serve runs the HTTP server of a simulated service until a termination signal.
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

// shutdownTimeout bounds a graceful shutdown, after which open connections are closed. It is also the
// timeout for reading request headers.
const shutdownTimeout = 10 * time.Second

// Config configures the server.
type Config struct {
	// Listen is the host:port to serve on.
	Listen  string
	Handler http.Handler
	// Background, if set, runs beside the server until its context is cancelled.
	Background func(ctx context.Context)
}

// Run serves until SIGTERM or SIGINT and returns the exit code of the process.
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
	background, stopBackground := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	if config.Background != nil {
		tasks.Go(func() { config.Background(background) })
	}
	server := &http.Server{Handler: config.Handler, ReadHeaderTimeout: shutdownTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err = <-served:
	case <-signals.Done():
		err = shutdown(server)
	}
	stopBackground()
	tasks.Wait()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// shutdown waits for running requests and then closes the remaining connections.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return fmt.Errorf("shut down gracefully: %w", err)
	}
	return nil
}
