package oper

import (
	"context"
	"strconv"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print objects",
		ArgsUsage: "[KIND [NAME]]",
		Description: "Examples:\n" +
			"  cyclamensaddle get route\n" +
			"  cyclamensaddle get route stock -o json > stock.json",
		Flags:  platformFlags(),
		Action: a.get,
	}
}

func (a *App) get(ctx context.Context, c *cli.Command) error {
	kinds, err := parseKinds(c.Args().Get(0))
	if err != nil {
		return err
	}
	platform := a.platform(c)
	if name := c.Args().Get(1); name != "" {
		key := cyclam.Key{
			Kind: kinds[0],
			Name: name,
		}
		object, err := platform.Get(ctx, key)
		if err != nil {
			return err
		}
		return writeJSON(a.Out, object)
	}
	list, err := platform.List(ctx, kinds...)
	if err != nil {
		return err
	}
	if c.String("output") == formatJSON {
		return writeJSON(a.Out, list.Objects)
	}
	var rows [][]string
	for _, object := range list.Objects {
		rows = append(rows, []string{
			string(object.Kind),
			object.Name,
			strconv.FormatUint(object.Revision, 10),
			string(object.Spec),
		})
	}
	return writeTable(a.Out, []string{"KIND", "NAME", "REVISION", "SPEC"}, rows)
}

// parseKinds returns the kind named by text, or all operator kinds if text is empty.
func parseKinds(text string) ([]cyclam.Kind, error) {
	if text == "" {
		return cyclam.OperatorKinds(), nil
	}
	if kind := cyclam.Kind(text); kind.IsOperator() {
		return []cyclam.Kind{kind}, nil
	}
	return nil, withExitCode(ExitUsage, errors.Errorf("unknown kind %q, want service, route or placement-rule", text))
}
