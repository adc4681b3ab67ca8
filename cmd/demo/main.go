// Command demo runs the whole system in one process: three daemons, with in-memory fakes of the
// platform and of the back ends (internal/standin), serve the pipelines of two users under
// several tiers while a data centre is taken out of service and brought back.
//
// # Usage
//
//	go run ./cmd/demo
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"
)

// demoLimit is the time limit of the whole demonstration.
const demoLimit = 2 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
