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

	"github.com/sequoiapick/sequoiapick/internal/entry"
	"github.com/sequoiapick/sequoiapick/internal/settings"
	"github.com/sequoiapick/sequoiapick/platform"
)

func newEntry() *ffcli.Command {
	fs := flag.NewFlagSet("sequoiapick entry", flag.ContinueOnError)
	level := fs.Int("log-level", 0, "verbosity from -8 (everything) to 8 (errors only)")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "sequoiapick entry [flags]",
		ShortHelp:  "runs the daemon of an entry host on the platform until SIGTERM",
		LongHelp:   "The platform's settings file is named by the environment variable " + platform.SettingsVariable + ".",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			handler := slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: slog.Level(*level)})
			h := &entry.Host{
				SettingsPath: os.Getenv(platform.SettingsVariable),
				Clock:        clockwork.NewRealClock(),
				Logger:       logr.FromSlogHandler(handler),
			}
			return h.Serve(ctx)
		},
	}
}
