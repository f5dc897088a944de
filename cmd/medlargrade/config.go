package main

import (
	"context"
	"fmt"
	"os"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/transport/platform"
)

// Config is temporary.
type Config struct {
	Apply applyTmp `command:"apply"`
	Show  showTmp  `command:"show"`
}
type applyTmp struct {
	Platform string `long:"platform"`
}

func (c *applyTmp) Execute(args []string) error {
	b, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	cfg, err := operator.Parse(b)
	if err != nil {
		return err
	}
	st := platform.New(process.TCP().HTTP, platform.Settings{Address: c.Platform})
	s, err := configsync.Read(context.Background(), st)
	if err != nil {
		return err
	}
	g, err := configsync.Apply(context.Background(), st, s.Generation, cfg)
	fmt.Println(g, err)
	return err
}

type showTmp struct {
	Platform string `long:"platform"`
}

func (c *showTmp) Execute([]string) error {
	st := platform.New(process.TCP().HTTP, platform.Settings{Address: c.Platform})
	s, err := configsync.Read(context.Background(), st)
	if err != nil {
		return err
	}
	fmt.Println(string(s.Config.JSON()))
	return nil
}
