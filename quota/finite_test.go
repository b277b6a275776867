package quota

import (
	"math"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// A balance that is no number must not be taken over: every sum with it is none either, so that
// the team would be refused for good, at all instances that hear of it.
func TestBalanceThatIsNoNumber(t *testing.T) {
	const full = 1
	told := func(amount, rate float64) Reply {
		return Reply{
			Coverage: full,
			Balances: map[cyclam.TeamName]Balance{
				"a": {
					Amount:      amount,
					ArrivalRate: rate,
				},
			},
		}
	}
	covered := func(fraction float64) Reply {
		return Reply{
			Coverage: fraction,
		}
	}
	for name, reply := range map[string]Reply{
		"amount":            told(math.NaN(), 0),
		"infinite amount":   told(math.Inf(-1), 0),
		"rate":              told(10, math.NaN()),
		"coverage":          covered(math.NaN()),
		"infinite coverage": covered(math.Inf(1)),
		"negative coverage": covered(-1),
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			l := &Ledger{
				Tuning:    replayTuning,
				StartedAt: now,
			}
			l.SetTeams(now, []cyclam.Team{
				{
					Name: "a",
					Quota: cyclam.Quota{
						Rate:  10,
						Burst: 10,
					},
				},
			})
			l.SetRelays(now, false, []cyclam.InstanceName{"relay"}, 2)
			answer := func(r Reply) {
				now = now.Add(reportEvery)
				l.Tick(now)
				if _, ok := l.Report(now, "relay"); !ok {
					t.Fatal("no report is due")
				}
				l.Replied(now, "relay", r)
			}
			answer(reply)
			admitted := 0
			for range 100 {
				answer(covered(full))
				if ok, _ := l.Admit(now, "a"); ok {
					admitted++
				}
			}
			if least := 50; admitted < least {
				t.Errorf("admitted: got %d of 100 requests at half of the rate, want at least %d", admitted, least)
			}
		})
	}
}
