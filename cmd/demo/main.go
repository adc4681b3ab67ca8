// Command demo runs the main job in one process: three daemons on stand-ins of the
// platform and of the back ends serve the pipelines of two users under several tiers,
// while a data centre is taken out and brought back.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"
)

// demoLimit bounds the whole demonstration.
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
