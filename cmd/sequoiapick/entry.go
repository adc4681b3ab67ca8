package main

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/entry"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/settings"
	"github.com/sequoiapick/sequoiapick/platform"
)

func newEntry() *ffcli.Command {
	fs := flag.NewFlagSet("sequoiapick entry", flag.ContinueOnError)
	metricsPort := fs.Int("metrics-port", 9464, "port on the host's address that serves metrics and the daemon's state; 0 disables both")
	level := fs.Int("log-level", 0, "verbosity from -8 (everything) to 8 (errors only)")
	scarce := fs.Bool("scarce-capacity", false, "admit requests over their whole chain and share capacity between accounts while it is scarce; all daemons of a deployment need the same value")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "sequoiapick entry [flags]",
		ShortHelp:  "runs the daemon of an entry host on the platform until SIGTERM",
		LongHelp:   "The path of the platform's settings file is read from the environment variable " + platform.SettingsVariable + ".",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			clock := clockwork.NewRealClock()
			sink := &event.Sink{Clock: clock}
			// Log lines are written until the daemon has ended, so the sink ignores the cancellation
			// of ctx.
			logContext, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
			sinkEnded := make(chan error, 1)
			go func() { sinkEnded <- sink.Run(logContext, os.Stdout) }()
			handler := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: slog.Level(*level)})
			d := &entry.Daemon{
				SettingsPath:    os.Getenv(platform.SettingsVariable),
				MetricsPort:     *metricsPort,
				ScarceCapacity:  *scarce,
				Clock:           clock,
				Logger:          logr.FromSlogHandler(handler),
				DroppedLogLines: sink.Dropped,
			}
			err := d.Serve(ctx)
			stopLogging()
			return errors.Join(err, <-sinkEnded)
		},
	}
}
