package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiapick/sequoiapick/internal/version"
)

func newVersion() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "sequoiapick version",
		ShortHelp:  "prints the version",
		Exec: func(context.Context, []string) error {
			fmt.Println("sequoiapick", version.String())
			return nil
		},
	}
}
