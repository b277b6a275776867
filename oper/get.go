package oper

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
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
	kinds, err := kindArgument(c.Args().Get(0))
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

func kindArgument(text string) ([]cyclam.Kind, error) {
	if text == "" {
		return cyclam.OperatorKinds(), nil
	}
	if kind := cyclam.Kind(text); kind.IsOperator() {
		return []cyclam.Kind{kind}, nil
	}
	return nil, coded(ExitUsage, errors.Errorf("unknown kind %q, want service, route or placement-rule", text))
}

func (a *App) deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete objects, unless others still need them",
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
	keys, err := keyArguments(c.Args().Slice())
	if err != nil {
		return err
	}
	platform := a.platform(c)
	list, err := platform.List(ctx, cyclam.OperatorKinds()...)
	if err != nil {
		return err
	}
	revisions, err := checkDelete(list.Objects, keys)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		_, err := fmt.Fprintf(a.Out, "%d objects would be deleted\n", len(keys))
		return err
	}
	for _, key := range keys {
		if err := platform.Delete(ctx, key, revisions[key]); err != nil {
			return err
		}
		fmt.Fprintf(a.Out, "%s deleted\n", key)
	}
	return nil
}

func keyArguments(args []string) ([]cyclam.Key, error) {
	if len(args) == 0 {
		return nil, coded(ExitUsage, errors.New("nothing named, want KIND/NAME"))
	}
	var keys []cyclam.Key
	for _, arg := range args {
		kind, name, ok := strings.Cut(arg, "/")
		if !ok || name == "" {
			return nil, coded(ExitUsage, errors.Errorf("got %q, want KIND/NAME", arg))
		}
		if _, err := kindArgument(kind); err != nil {
			return nil, err
		}
		keys = append(keys, cyclam.Key{
			Kind: cyclam.Kind(kind),
			Name: name,
		})
	}
	return keys, nil
}

// checkDelete refuses to delete what others refer to, and returns the revisions
// of what may go.
func checkDelete(stored []cyclam.Object, keys []cyclam.Key) (map[cyclam.Key]uint64, error) {
	revisions := map[cyclam.Key]uint64{}
	set := conf.NewSet()
	for _, object := range stored {
		revisions[object.Key()] = object.Revision
		if resource, faults := conf.Parse(object); len(faults) == 0 {
			set = set.With(resource)
		}
	}
	before := len(set.Check())
	for _, key := range keys {
		if revisions[key] == 0 {
			return nil, errors.Wrap(cyclam.ErrNotFound, key.String())
		}
		set = set.Without(key)
	}
	if problems := set.Check(); len(problems) > before {
		return nil, refusal(problems)
	}
	return revisions, nil
}
