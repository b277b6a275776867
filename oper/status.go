package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/commit"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// pollInterval is the interval at which --wait reads the status.
const pollInterval = 100 * time.Millisecond

// statusReport is the output of the status command.
type statusReport struct {
	Fleet   commit.FleetStatus    `json:"fleet"`
	Objects []commit.ObjectStatus `json:"objects"`
}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which objects are accepted, refused and in force",
		Description: "Examples:\n" +
			"  cyclamensaddle status\n" +
			"  cyclamensaddle status --wait --timeout 10s",
		Flags:  platformFlags(waitFlags()...),
		Action: a.status,
	}
}

func (a *App) status(ctx context.Context, c *cli.Command) error {
	platform := a.platform(c)
	if c.Bool("wait") {
		list, err := platform.List(ctx, cyclam.OperatorKinds()...)
		if err != nil {
			return err
		}
		if err := a.waitInForce(ctx, c, platform, list.Objects); err != nil {
			return err
		}
	}
	r, err := readReport(ctx, platform)
	if err != nil {
		return err
	}
	if c.String("output") == formatJSON {
		return writeJSON(a.Out, r)
	}
	return a.printReport(r)
}

func (a *App) printReport(r statusReport) error {
	fmt.Fprintf(a.Out, "version %d in force on %d of %d nodes", r.Fleet.Version, r.Fleet.InForce, r.Fleet.Nodes)
	if r.Fleet.Converged != "" {
		fmt.Fprintf(a.Out, ", everywhere after %s", r.Fleet.Converged)
	}
	fmt.Fprintln(a.Out)
	var rows [][]string
	for _, centre := range r.Fleet.DataCentres {
		rows = append(rows, []string{
			centre.DataCentre,
			strconv.Itoa(centre.InForce) + " of " + strconv.Itoa(centre.Nodes),
			strconv.FormatUint(uint64(centre.Oldest), 10),
		})
	}
	if err := writeTable(a.Out, []string{"DATA-CENTRE", "IN-FORCE", "OLDEST-VERSION"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	rows = nil
	for _, object := range r.Objects {
		rows = append(rows, []string{
			object.Object,
			string(object.State),
			strconv.FormatUint(uint64(object.Version), 10),
			formatProblems(object.Problems),
		})
	}
	return writeTable(a.Out, []string{"OBJECT", "STATE", "VERSION", "PROBLEMS"}, rows)
}

func formatProblems(problems []commit.StatusProblem) string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, cyclam.Problem(p).String())
	}
	return strings.Join(lines, "; ")
}

func readReport(ctx context.Context, platform cyclam.Platform) (statusReport, error) {
	list, err := platform.List(ctx, cyclam.KindStatus)
	if err != nil {
		return statusReport{}, err
	}
	var r statusReport
	for _, object := range list.Objects {
		if object.Name == commit.FleetStatusName {
			err = json.Unmarshal(object.Spec, &r.Fleet)
		} else {
			var status commit.ObjectStatus
			err = json.Unmarshal(object.Spec, &status)
			r.Objects = append(r.Objects, status)
		}
		if err != nil {
			return statusReport{}, errors.Wrap(err, "decode status "+object.Name)
		}
	}
	return r, nil
}

// waitInForce waits until all objects are accepted and their version is in force on
// every node. It returns an error as soon as one is refused, or after --timeout.
func (a *App) waitInForce(ctx context.Context, c *cli.Command, platform cyclam.Platform, objects []cyclam.Object) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	shown := ""
	for {
		r, err := readReport(ctx, platform)
		if err == nil {
			done, text, refused := progress(r, objects)
			if text != shown {
				fmt.Fprintln(a.Err, text)
				shown = text
			}
			if refused != nil || done {
				return refused
			}
		}
		select {
		case <-ctx.Done():
			return withExitCode(ExitTimeout, errors.Errorf("not in force everywhere after %s: %s", c.Duration("timeout"), shown))
		case <-time.After(pollInterval):
		}
	}
}

// progress reports whether the objects are in force on every node, a line that
// describes the progress, and an error if an object is refused.
func progress(r statusReport, objects []cyclam.Object) (bool, string, error) {
	states := map[string]commit.ObjectStatus{}
	for _, status := range r.Objects {
		states[status.Object] = status
	}
	accepted := 0
	var version cyclam.Version
	for _, object := range objects {
		status, ok := states[object.Key().String()]
		if !ok || status.Revision < object.Revision || status.State == conf.Waiting {
			continue
		}
		if status.State == conf.Rejected {
			return false, "", withExitCode(ExitRefused, errors.New(status.Object+" refused: "+formatProblems(status.Problems)))
		}
		accepted++
		version = max(version, status.Version)
	}
	if accepted < len(objects) {
		return false, fmt.Sprintf("accepted %d of %d objects", accepted, len(objects)), nil
	}
	text := fmt.Sprintf("version %d in force on %d of %d nodes", r.Fleet.Version, r.Fleet.InForce, r.Fleet.Nodes)
	done := r.Fleet.Version >= version && r.Fleet.Nodes > 0 && r.Fleet.InForce == r.Fleet.Nodes
	return done, text, nil
}
