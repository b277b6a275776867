package oper

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// The output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func writeJSON(w io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

func writeTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// refusedError returns an error with ExitRefused that lists all problems.
func refusedError(problems []cyclam.Problem) error {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, "  "+p.String())
	}
	return withExitCode(ExitRefused, errors.Errorf("refused, nothing was written:\n%s", strings.Join(lines, "\n")))
}
