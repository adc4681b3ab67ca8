// Command demo runs the whole system in one process: three daemons, with in-memory stand-ins for
// the platform and for the back ends (internal/standin), serve the pipelines of two accounts under
// several tiers while a data centre is taken out of service and brought back. It prints to standard
// output how many requests of each tier were answered and at which cost.
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
