package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/quota"
	"github.com/cyclamensaddle/cyclam/teams"
	"github.com/cyclamensaddle/cyclam/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// spendInterval is the interval of the reports of admitted requests.
	spendInterval = 200 * time.Millisecond
	// spendTimeout bounds one report.
	spendTimeout = 400 * time.Millisecond
	// spendAvoid is how long an instance that has not replied is no relay.
	spendAvoid = 3 * time.Second
)

// spending holds the node's ledger of the teams' quotas.
type spending struct {
	mu     sync.Mutex
	ledger quota.Ledger
	// avoid holds the instances that have not replied, until they are tried again.
	avoid map[cyclam.InstanceName]time.Time
	// urgent is signalled when a report should not wait for its turn.
	urgent chan struct{}
}

func (s *spending) prepare(n *Node) {
	s.ledger = quota.Ledger{
		Tuning:    n.Settings.Quota,
		StartedAt: n.startTime,
		Self:      n.self,
	}
	s.urgent = make(chan struct{}, 1)
	s.avoid = map[cyclam.InstanceName]time.Time{}
}

func (s *spending) setTeams(now time.Time, teams []cyclam.Team) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetTeams(now, teams)
	s.wake()
}

// wake lets the next report be sent at once.
func (s *spending) wake() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// spent is the admission of one request by its team's quota.
type spent struct {
	node *Node
	team cyclam.TeamName
	// mayHaveRun is set if the request may have run at an upstream.
	mayHaveRun bool
}

// spendQuota admits a request by its team's quota, or refuses it; then it returns false.
func (n *Node) spendQuota(w http.ResponseWriter, r *http.Request, id string, access teams.Verdict) (*spent, bool) {
	s := &spent{
		node: n,
		team: access.Team.Name,
	}
	if s.team == "" {
		return s, true
	}
	admitted, retryAfter := n.admitTeam(s.team)
	if !admitted {
		n.refuseBody(w, r)
		n.meters.countRefusal(cyclam.ReasonQuotaExceeded)
		n.Log.Debug("request-over-quota", "id", id, "team", s.team, "retry-after", retryAfter)
		w.Header().Set("Retry-After", formatSeconds(jitter(retryAfter)))
		n.writePlain(w, http.StatusTooManyRequests, cyclam.ReasonQuotaExceeded)
	}
	return s, admitted
}

// settle takes the admission back if the request has not run.
func (s *spent) settle() {
	if s.team != "" && !s.mayHaveRun {
		s.node.refundTeam(s.team)
	}
}

// admitTeam decides by the team's quota whether a request is admitted. If it is not, it may be
// sent again after the returned time.
func (n *Node) admitTeam(team cyclam.TeamName) (bool, time.Duration) {
	s := &n.spending
	s.mu.Lock()
	admitted, retryAfter := s.ledger.Admit(time.Now(), team)
	urgent := s.ledger.Urgent(team)
	s.mu.Unlock()
	if urgent {
		s.wake()
	}
	return admitted, retryAfter
}

// refundTeam takes back the admission of a request that has not run and never will.
func (n *Node) refundTeam(team cyclam.TeamName) {
	n.spending.mu.Lock()
	defer n.spending.mu.Unlock()
	n.spending.ledger.Refund(time.Now(), team)
}

// reportSpending reports the admitted requests to the relays until ctx ends.
func (n *Node) reportSpending(ctx context.Context) error {
	reporting := &sync.Map{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.spending.urgent:
		case <-time.After(spendInterval):
		}
		for _, name := range n.spendTick(time.Now()) {
			if _, busy := reporting.LoadOrStore(name, true); busy {
				continue
			}
			go func() {
				defer reporting.Delete(name)
				if err := n.reportSpendingTo(ctx, name); err != nil && ctx.Err() == nil {
					n.avoidRelay(name)
					n.meters.countSpendFailure()
					n.Log.Debug("spend-report-failed", "peer", name, "error", err)
				}
			}()
		}
	}
}

// spendTick brings the ledger up to date and returns the relays to report to.
func (n *Node) spendTick(now time.Time) []cyclam.InstanceName {
	n.spending.mu.Lock()
	limits := n.spending.ledger.Limits()
	n.spending.mu.Unlock()
	if !limits {
		return nil
	}
	relay, relays, fleet := n.electRelays(now)
	n.spending.mu.Lock()
	defer n.spending.mu.Unlock()
	n.spending.ledger.SetRelays(now, relay, relays, fleet)
	n.spending.ledger.Tick(now)
	n.meters.updateSpending(n.spending.ledger.Coverage(), relay)
	return n.spending.ledger.Relays()
}

// avoidRelay keeps an instance from being a relay for a while.
func (n *Node) avoidRelay(name cyclam.InstanceName) {
	n.spending.mu.Lock()
	defer n.spending.mu.Unlock()
	n.spending.avoid[name] = time.Now().Add(spendAvoid)
}

// electRelays returns whether this node is the relay of its data centre, the relays to which it
// reports, and the number of instances; zero if the other instances are not known yet. The
// relay of a data centre is the first instance by name that is in reach.
func (n *Node) electRelays(now time.Time) (relay bool, relays []cyclam.InstanceName, fleet int) {
	home := n.Settings.Self.Locality.DataCentre
	first := map[cyclam.DataCentre]cyclam.InstanceName{
		home: n.self.Instance,
	}
	avoided := n.avoidedRelays(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.fleet.known {
		return false, nil, 0
	}
	fleet = 1
	for name, m := range n.fleet.members {
		if m.view.Endpoint.State == cyclam.EndpointGone {
			continue
		}
		fleet++
		if m.unavailable(now) || avoided[name] || m.view.Endpoint.State == cyclam.EndpointLeaving {
			continue
		}
		centre := m.view.Endpoint.Locality.DataCentre
		if held, ok := first[centre]; !ok || name < held {
			first[centre] = name
		}
	}
	if first[home] != n.self.Instance {
		return false, []cyclam.InstanceName{first[home]}, fleet
	}
	for centre, name := range first {
		if centre != home {
			relays = append(relays, name)
		}
	}
	return true, relays, fleet
}

func (n *Node) avoidedRelays(now time.Time) map[cyclam.InstanceName]bool {
	n.spending.mu.Lock()
	defer n.spending.mu.Unlock()
	avoided := map[cyclam.InstanceName]bool{}
	for name, until := range n.spending.avoid {
		if now.Before(until) {
			avoided[name] = true
		} else {
			delete(n.spending.avoid, name)
		}
	}
	return avoided
}

// reportSpendingTo sends the next report to a relay and applies its reply.
func (n *Node) reportSpendingTo(ctx context.Context, name cyclam.InstanceName) error {
	address, _, err := n.addressOf(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	conn, err := n.link(address).connect(ctx)
	if err != nil {
		return err
	}
	n.spending.mu.Lock()
	report, ok := n.spending.ledger.Report(time.Now(), name)
	n.spending.mu.Unlock()
	if !ok {
		return nil
	}
	message := encodeSpendReport(n.self, report)
	message.Receiver = string(name)
	reply, err := wire.NewDoorClient(conn).Spend(ctx, message)
	if status.Code(err) == codes.NotFound {
		n.noteReplaced(name, address)
	}
	if err != nil {
		return cyclam.AtStep("report spending", address, err)
	}
	n.spending.mu.Lock()
	defer n.spending.mu.Unlock()
	n.spending.ledger.Replied(time.Now(), name, decodeSpendReply(reply))
	return nil
}

// Spend counts what another node has admitted.
func (p *peerServer) Spend(_ context.Context, r *wire.SpendReport) (*wire.SpendReply, error) {
	if to := cyclam.InstanceName(r.GetReceiver()); to != "" && to != p.node.self.Instance {
		return nil, status.Errorf(codes.NotFound, "report for %s at %s", to, p.node.self.Instance)
	}
	s := &p.node.spending
	from := cyclam.Identity{
		Instance:    cyclam.InstanceName(r.GetInstance()),
		Incarnation: cyclam.Incarnation(r.GetIncarnation()),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeSpendReply(s.ledger.Receive(time.Now(), from, decodeSpendReport(r))), nil
}

func encodeSpendReport(self cyclam.Identity, r quota.Report) *wire.SpendReport {
	w := &wire.SpendReport{
		Instance:    string(self.Instance),
		Incarnation: uint64(self.Incarnation),
		Sequence:    r.Sequence,
		Covers:      uint32(r.Covers),
	}
	for team, use := range r.Uses {
		w.Uses = append(w.Uses, &wire.TeamUse{
			Team:     string(team),
			Admitted: use.Admitted,
			Arrived:  uint64(use.Arrived),
		})
	}
	w.Balances = encodeBalances(r.Balances)
	return w
}

func encodeBalances(balances map[cyclam.TeamName]quota.Balance) []*wire.TeamBalance {
	var list []*wire.TeamBalance
	for team, balance := range balances {
		list = append(list, &wire.TeamBalance{
			Team:        string(team),
			Amount:      balance.Amount,
			ArrivalRate: balance.ArrivalRate,
		})
	}
	return list
}

func decodeBalances(list []*wire.TeamBalance) map[cyclam.TeamName]quota.Balance {
	balances := map[cyclam.TeamName]quota.Balance{}
	for _, balance := range list {
		balances[cyclam.TeamName(balance.GetTeam())] = quota.Balance{
			Amount:      balance.GetAmount(),
			ArrivalRate: balance.GetArrivalRate(),
		}
	}
	return balances
}

func decodeSpendReport(w *wire.SpendReport) quota.Report {
	r := quota.Report{
		Sequence: w.GetSequence(),
		Covers:   int(w.GetCovers()),
		Uses:     map[cyclam.TeamName]quota.Use{},
		Balances: decodeBalances(w.GetBalances()),
	}
	for _, use := range w.GetUses() {
		r.Uses[cyclam.TeamName(use.GetTeam())] = quota.Use{
			Admitted: use.GetAdmitted(),
			Arrived:  int64(use.GetArrived()),
		}
	}
	return r
}

func encodeSpendReply(r quota.Reply) *wire.SpendReply {
	return &wire.SpendReply{
		Coverage: r.Coverage,
		Fresh:    r.Fresh,
		Balances: encodeBalances(r.Balances),
	}
}

func decodeSpendReply(w *wire.SpendReply) quota.Reply {
	return quota.Reply{
		Coverage: w.GetCoverage(),
		Fresh:    w.GetFresh(),
		Balances: decodeBalances(w.GetBalances()),
	}
}
