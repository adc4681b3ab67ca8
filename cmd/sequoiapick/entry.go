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
	metrics := fs.Int("metrics-port", 9464, "port of the host's address from which metrics and the state are read; 0 serves none")
	level := fs.Int("log-level", 0, "verbosity from -8 (everything) to 8 (errors only)")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "sequoiapick entry [flags]",
		ShortHelp:  "runs the daemon of an entry host on the platform until SIGTERM",
		LongHelp:   "The platform's settings file is named by the environment variable " + platform.SettingsVariable + ".",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			clock := clockwork.NewRealClock()
			sink := &event.Sink{Clock: clock}
			logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
			ended := make(chan error, 1)
			go func() { ended <- sink.Run(logging, os.Stdout) }()
			handler := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: slog.Level(*level)})
			h := &entry.Daemon{
				SettingsPath:    os.Getenv(platform.SettingsVariable),
				MetricsPort:     *metrics,
				Clock:           clock,
				Logger:          logr.FromSlogHandler(handler),
				DroppedLogLines: sink.Dropped,
			}
			err := h.Serve(ctx)
			stopLogging()
			return errors.Join(err, <-ended)
		},
	}
}
