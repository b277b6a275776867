package oper

import (
	"context"
	"fmt"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete objects, unless other objects refer to them",
		ArgsUsage: "KIND/NAME [KIND/NAME ...]",
		Description: "Example:\n" +
			"  cyclamensaddle delete route/stock placement-rule/stock-at-home service/stockview",
		Flags: platformFlags(&cli.BoolFlag{
			Name:  "dry-run",
			Usage: "check only, delete nothing",
		}),
		Action: a.delete,
	}
}

func (a *App) delete(ctx context.Context, c *cli.Command) error {
	keys, err := parseKeys(c.Args().Slice())
	if err != nil {
		return err
	}
	platform := a.platform(c)
	list, err := platform.List(ctx, cyclam.OperatorKinds()...)
	if err != nil {
		return err
	}
	positions, err := checkDelete(list.Objects, keys)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		_, err := fmt.Fprintf(a.Out, "%d objects would be deleted\n", len(keys))
		return err
	}
	for _, key := range keys {
		if err := platform.Delete(ctx, key, positions[key]); err != nil {
			return err
		}
		fmt.Fprintf(a.Out, "%s deleted\n", key)
	}
	return nil
}

func parseKeys(args []string) ([]cyclam.Key, error) {
	if len(args) == 0 {
		return nil, withExitCode(ExitUsage, errors.New("no object given, want KIND/NAME"))
	}
	var keys []cyclam.Key
	for _, arg := range args {
		kind, name, ok := strings.Cut(arg, "/")
		if !ok || name == "" {
			return nil, withExitCode(ExitUsage, errors.Errorf("got %q, want KIND/NAME", arg))
		}
		if _, err := parseKinds(kind); err != nil {
			return nil, err
		}
		keys = append(keys, cyclam.Key{
			Kind: cyclam.Kind(kind),
			Name: name,
		})
	}
	return keys, nil
}

// checkDelete returns the stored position of each object, by key. It returns an error
// if an object to be deleted does not exist or if a remaining object refers to it.
func checkDelete(stored []cyclam.Object, keys []cyclam.Key) (map[cyclam.Key]cyclam.Position, error) {
	positions := map[cyclam.Key]cyclam.Position{}
	set := conf.NewSet()
	for _, object := range stored {
		positions[object.Key()] = object.Position
		if resource, faults := conf.Parse(object); len(faults) == 0 {
			set = set.With(resource)
		}
	}
	before := len(set.Check())
	for _, key := range keys {
		if positions[key].IsZero() {
			return nil, errors.Wrap(cyclam.ErrNotFound, key.String())
		}
		set = set.Without(key)
	}
	if problems := set.Check(); len(problems) > before {
		return nil, refusedError(problems)
	}
	return positions, nil
}
