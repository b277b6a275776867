package oper

import (
	"context"
	"os"

	"github.com/cyclamensaddle/cyclam/logs"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the outcome of a request from collected logs",
		ArgsUsage: "FILE...",
		Description: "Examples:\n" +
			"  cyclamensaddle explain --id 9c41d07be2a35f68 logs/*.log\n" +
			"  cyclamensaddle explain --summary logs/*.log",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "id",
				Usage: "id of the request",
			},
			&cli.BoolFlag{
				Name:  "summary",
				Usage: "count the failed requests by cause",
			},
		},
		Action: a.explain,
	}
}

func (a *App) explain(_ context.Context, c *cli.Command) error {
	id, summary := c.String("id"), c.Bool("summary")
	if id == "" && !summary || c.Args().Len() == 0 {
		return withExitCode(ExitUsage, errors.New("want --id ID or --summary, and one or more log files"))
	}
	var lines []logs.Line
	for _, path := range c.Args().Slice() {
		more, err := readLogs(path)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	if summary {
		return logs.Summary(a.Out, lines)
	}
	return logs.Explain(a.Out, lines, id)
}

func readLogs(path string) ([]logs.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open logs")
	}
	defer file.Close()
	lines, _, err := logs.Read(file)
	return lines, errors.Wrap(err, path)
}
