package node

import (
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/prom"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Status is the state of a node as its admin address reports it, as JSON.
type Status struct {
	Instance    cyclam.InstanceName   `json:"instance"`
	Incarnation cyclam.Incarnation    `json:"incarnation"`
	Version     cyclam.Version        `json:"version"`
	Role        cyclam.Role           `json:"role"`
	Path        []cyclam.InstanceName `json:"path"`
	Attached    bool                  `json:"attached"`
	Serving     bool                  `json:"serving"`
	Children    int                   `json:"children"`
	Endpoints   int                   `json:"endpoints"`
	Running     int                   `json:"running"`
	Waiting     int                   `json:"waiting"`
	Calls       int                   `json:"calls"`
	Leaving     bool                  `json:"leaving"`
}

// Status returns a snapshot of the node's state. Before Run, only Instance is
// set.
func (n *Node) Status() Status {
	n.mu.Lock()
	s, started := n.state, n.started
	n.mu.Unlock()
	if !started {
		return Status{
			Instance: cyclam.InstanceName(n.Settings.Instance),
		}
	}
	return Status{
		Instance:    n.self.Instance,
		Incarnation: n.self.Incarnation,
		Version:     s.Tree.Conf.Version,
		Role:        s.Tree.Role(),
		Path:        s.Tree.Path(),
		Attached:    s.Tree.Attached(),
		Serving:     s.Tree.Serving(time.Now()),
		Children:    s.Tree.Children(),
		Endpoints:   s.Tree.Roster.Live(),
		Running:     s.Admit.Running(),
		Waiting:     s.Admit.Waiting(),
		Calls:       s.Egress.InFlight(),
		Leaving:     s.Leaving(),
	}
}

func (n *Node) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		n.updateGauges()
		ctx.SetContentType("text/plain; version=0.0.4")
		if err := prom.Write(ctx, n.Metrics); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	case "/status":
		data, err := json.Marshal(n.Status())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(data)
	case "/ready":
		if s := n.Status(); !s.Serving || s.Leaving {
			ctx.Error("node is not serving or is leaving", fasthttp.StatusServiceUnavailable)
		}
	default:
		ctx.Error("unknown path, want /metrics, /status or /ready", fasthttp.StatusNotFound)
	}
}

// updateGauges sets the gauges that are derived from the node's state. It runs
// at each scrape.
func (n *Node) updateGauges() {
	s := n.Status()
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, n.Metrics).Update(value)
	}
	set("config-version", int64(s.Version))
	set("endpoints-known", int64(s.Endpoints))
	set("tree-children", int64(s.Children))
	set("work-running", int64(s.Running))
	set("work-waiting", int64(s.Waiting))
	set("calls-in-flight", int64(s.Calls))
}
