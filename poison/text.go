package poison

import (
	"fmt"
	"strconv"
	"strings"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// maxTextReports bounds the reports that are read from one text.
const maxTextReports = 256

// FormatReports returns the reports of one instance as a text without its name:
// fingerprint:crashes:answered:bans, separated by spaces.
func FormatReports(reports []Report) string {
	texts := make([]string, 0, len(reports))
	for _, r := range reports {
		texts = append(texts, fmt.Sprintf("%v:%d:%d:%d", r.Fingerprint, r.Crashes, r.Answered, r.Bans))
	}
	return strings.Join(texts, " ")
}

// ParseReports reads the form of FormatReports. It returns an error if any part is malformed.
func ParseReports(instance cyclam.InstanceName, text string) ([]Report, error) {
	var reports []Report
	for part := range strings.FieldsSeq(text) {
		if len(reports) == maxTextReports {
			return nil, errors.Errorf("reports of crashes: more than %d", maxTextReports)
		}
		name, counts, _ := strings.Cut(part, ":")
		f, err := strconv.ParseUint(name, fingerprintBase, 64)
		if err != nil {
			return nil, errors.Wrap(err, "fingerprint of a crash report")
		}
		report := Report{
			Instance:    instance,
			Fingerprint: Fingerprint(f),
		}
		fields := strings.Split(counts, ":")
		targets := []*uint32{&report.Crashes, &report.Answered, &report.Bans}
		if len(fields) != len(targets) {
			return nil, errors.Errorf("crash report %q: got %d counts, want %d", part, len(fields), len(targets))
		}
		for i, field := range fields {
			count, err := strconv.ParseUint(field, 10, 32)
			if err != nil {
				return nil, errors.Wrap(err, "count of a crash report")
			}
			*targets[i] = uint32(count)
		}
		reports = append(reports, report)
	}
	return reports, nil
}
