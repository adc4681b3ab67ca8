package main

import (
	"context"
	"flag"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/daemon"
	"github.com/sequoiapick/sequoiapick/internal/settings"
)

func newServe() *ffcli.Command {
	var s settings.Settings
	fs := flag.NewFlagSet("sequoiapick serve", flag.ContinueOnError)
	s.Register(fs)
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "sequoiapick serve [flags]",
		ShortHelp:  "runs the daemon until SIGTERM, then finishes every request",
		LongHelp:   "Each flag can be set by an environment variable: " + settings.EnvPrefix + "_ and the flag's name in capitals, with _ for -.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			s.ApplyDefaults()
			if err := s.Check(); err != nil {
				return err
			}
			handler := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(s.LogLevel)})
			d := &daemon.Daemon{Settings: s, Clock: clockwork.NewRealClock(), Logger: logr.FromSlogHandler(handler)}
			return d.Serve(ctx)
		},
	}
}
