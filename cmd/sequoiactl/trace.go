package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/trace"
)

func newTrace() *ffcli.Command {
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "sequoiactl trace REQUEST LOG...",
		ShortHelp:  "prints the course of one request and what ended it, from the daemons' logs",
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return flag.ErrHelp
			}
			logs := make([]io.Reader, 0, len(args)-1)
			var files []*os.File
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				files = append(files, file)
				logs = append(logs, file)
			}
			t, err := trace.Read(args[0], logs...)
			for _, file := range files {
				err = errors.Join(err, file.Close())
			}
			if err != nil {
				return err
			}
			_, err = fmt.Print(t.Table())
			return err
		},
	}
}
