package oper

import (
	"context"
	"crypto/rand"
	"fmt"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) applyCommand() *cli.Command {
	flags := platformFlags(
		&cli.StringSliceFlag{
			Name:    "file",
			Aliases: []string{"f"},
			Usage:   "file with objects, or - for standard input; may be repeated",
		},
		&cli.BoolFlag{
			Name:  "dry-run",
			Usage: "check against the stored objects, write nothing",
		},
	)
	return &cli.Command{
		Name:  "apply",
		Usage: "write objects, which come into force all together or not at all",
		Description: "Examples:\n" +
			"  cyclamensaddle apply -f routes.json --wait\n" +
			"  cat rule.json | cyclamensaddle apply -f - --dry-run\n" +
			"An object with a revision is written only if the stored object still has that revision.",
		Flags:  append(flags, waitFlags()...),
		Action: a.apply,
	}
}

func (a *App) apply(ctx context.Context, c *cli.Command) error {
	objects, err := a.readObjects(c.StringSlice("file"))
	if err != nil {
		return err
	}
	platform := a.platform(c)
	list, err := platform.List(ctx, cyclam.OperatorKinds()...)
	if err != nil {
		return err
	}
	if problems := checkMerged(list.Objects, objects); len(problems) > 0 {
		return refusedError(problems)
	}
	if c.Bool("dry-run") {
		_, err := fmt.Fprintf(a.Out, "%d objects would be written\n", len(objects))
		return err
	}
	written, err := writeObjects(ctx, platform, list.Objects, objects)
	if err != nil {
		return err
	}
	if err := a.reportWritten(c, written); err != nil || !c.Bool("wait") {
		return err
	}
	return a.waitInForce(ctx, c, platform, written)
}

func (a *App) reportWritten(c *cli.Command, written []cyclam.Object) error {
	if c.String("output") == formatJSON {
		return writeJSON(a.Out, written)
	}
	for _, object := range written {
		fmt.Fprintf(a.Out, "%s written at revision %d\n", object.Key(), object.Revision)
	}
	return nil
}

// checkMerged checks the configuration that results from applying objects to the
// stored ones, and returns the problems that the change adds. Stored objects that are
// invalid are left out, as they are not in force.
func checkMerged(stored, objects []cyclam.Object) []cyclam.Problem {
	resources, problems := checkObjects(objects)
	if len(problems) > 0 {
		return problems
	}
	set := conf.NewSet()
	for _, object := range stored {
		if resource, faults := conf.Parse(object); len(faults) == 0 {
			set = set.With(resource)
		}
	}
	before := map[cyclam.Problem]bool{}
	for _, p := range set.Check() {
		before[p] = true
	}
	for _, resource := range resources {
		set = set.With(resource)
	}
	for _, p := range set.Check() {
		if !before[p] {
			problems = append(problems, p)
		}
	}
	return problems
}

// writeObjects writes the objects as one change. Each write is conditional on the
// revision in the stored list, which must equal the revision in the file if the file
// has one.
func writeObjects(ctx context.Context, platform cyclam.Platform, stored, objects []cyclam.Object) ([]cyclam.Object, error) {
	revisions := map[cyclam.Key]uint64{}
	for _, object := range stored {
		revisions[object.Key()] = object.Revision
	}
	change := &cyclam.Change{
		ID:    rand.Text(),
		Count: len(objects),
	}
	for _, object := range objects {
		if current := revisions[object.Key()]; object.Revision != 0 && object.Revision != current {
			return nil, errors.Wrapf(cyclam.ErrConflict, "%s: file says revision %d, stored is %d; nothing was written", object.Key(), object.Revision, current)
		}
	}
	var written []cyclam.Object
	for _, object := range objects {
		object.Revision = revisions[object.Key()]
		object.Change = change
		next, err := putOrReadBack(ctx, platform, object)
		if err != nil {
			return nil, errors.Wrapf(err, "%d of %d objects written, none is in force; apply again", len(written), len(objects))
		}
		written = append(written, next)
	}
	return written, nil
}

// putOrReadBack writes an object. If the platform's response is lost, it reads the
// object back and returns it if the write took effect.
func putOrReadBack(ctx context.Context, platform cyclam.Platform, object cyclam.Object) (cyclam.Object, error) {
	written, err := platform.Put(ctx, object)
	if !errors.Is(err, cyclam.ErrUnavailable) {
		return written, err
	}
	stored, readErr := platform.Get(ctx, object.Key())
	if readErr == nil && stored.Change != nil && *stored.Change == *object.Change {
		return stored, nil
	}
	return cyclam.Object{}, err
}
