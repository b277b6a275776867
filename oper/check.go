package oper

import (
	"context"
	"fmt"
	"strings"

	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/strict"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings and objects offline",
		Description: "Examples:\n" +
			"  cyclamensaddle check --settings node.json\n" +
			"  cyclamensaddle check -f resources.json",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:  "settings",
				Usage: "settings file of a node",
			},
			&cli.StringSliceFlag{
				Name:    "file",
				Aliases: []string{"f"},
				Usage:   "file with objects, or - for standard input",
			},
		},
		Action: a.check,
	}
}

func (a *App) check(_ context.Context, c *cli.Command) error {
	settings, files := c.StringSlice("settings"), c.StringSlice("file")
	if len(settings)+len(files) == 0 {
		return withExitCode(ExitUsage, errors.New("nothing to check, want --settings FILE or -f FILE"))
	}
	for _, path := range settings {
		if _, err := readSettings(path); err != nil {
			return err
		}
		fmt.Fprintln(a.Out, path+": settings are valid")
	}
	if len(files) == 0 {
		return nil
	}
	objects, err := a.readObjects(files)
	if err != nil {
		return err
	}
	resources, problems := checkObjects(objects)
	set := conf.NewSet()
	for _, resource := range resources {
		set = set.With(resource)
	}
	if len(problems) == 0 {
		problems = set.Check()
	}
	if len(problems) > 0 {
		return refusedError(problems)
	}
	_, err = fmt.Fprintf(a.Out, "%d objects are valid\n", len(objects))
	return err
}

func readSettings(path string) (setup.Settings, error) {
	settings, faults, err := setup.Read(path)
	if err != nil {
		return settings, withExitCode(ExitUsage, err)
	}
	if len(faults) > 0 {
		return settings, withExitCode(ExitRefused, errors.New(path+" is invalid:\n"+formatFaults(faults)))
	}
	return settings, nil
}

func formatFaults(faults []strict.FieldError) string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, "  "+fault.Path+": "+fault.Reason)
	}
	return strings.Join(lines, "\n")
}
