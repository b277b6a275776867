package fleet

import (
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/node"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
	"github.com/cyclamensaddle/cyclam/stand/upstub"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Fleet is a deployment of node, upstream and platform processes. Set Spec, Bin,
// Dir, Port and Trace before Start; Prepare sets Members and Platform.
type Fleet struct {
	Spec Spec
	// Bin is the directory of the built programs.
	Bin string
	// Dir is the directory for the nodes' settings and the logs of all processes.
	Dir string
	// Port is the platform's port; the members use the ports above it.
	Port int
	// Trace is the trace section of the nodes' settings.
	Trace map[string]any

	Members []Member
	// Platform is the host:port of the platform stand-in.
	Platform string
	nodes    map[string]*exec.Cmd
	standIns []*exec.Cmd
}

// Start starts the platform, all upstreams and all nodes.
func (f *Fleet) Start() error {
	if err := f.Prepare(); err != nil {
		return err
	}
	return f.StartMembers()
}

// Prepare assigns the members' addresses and starts the platform stand-in.
func (f *Fleet) Prepare() error {
	f.Members = f.Spec.Members(f.Port)
	f.Platform = loopback(f.Port)
	f.nodes = map[string]*exec.Cmd{}
	if f.Trace == nil {
		f.Trace = map[string]any{}
	}
	return f.StartPlatform()
}

// StartMembers starts all upstreams and all nodes.
func (f *Fleet) StartMembers() error {
	for _, m := range f.Members {
		if err := f.startUpstream(m); err != nil {
			return err
		}
	}
	for _, m := range f.Members {
		if err := f.StartNode(m); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the platform stand-in and waits up to 5 s until it answers.
func (f *Fleet) StartPlatform() error {
	cmd, err := f.start("platform", "stand-platform", "-listen", f.Platform)
	if err != nil {
		return err
	}
	f.standIns = append(f.standIns, cmd)
	return Eventually(5*time.Second, func() error {
		_, err := Get("http://" + f.Platform + "/stats")
		return err
	})
}

func (f *Fleet) startUpstream(m Member) error {
	delay := f.Spec.Delay
	if delay == "" {
		delay = "1ms"
	}
	cmd, err := f.start("upstream-"+m.Name, "stand-upstream",
		"-delay", delay,
		"-wait="+strconv.FormatBool(f.Spec.Wait),
		"-listen", m.Upstream,
		"-name", m.Name,
		"-slots", strconv.Itoa(m.Service.Slots),
		"-connections", strconv.Itoa(m.Service.Connections),
	)
	f.standIns = append(f.standIns, cmd)
	return err
}

// StartRelay starts a relay that forwards all calls from the address listen to
// the address to.
func (f *Fleet) StartRelay(name, listen, to string) error {
	cmd, err := f.start(name, "stand-relay", "-listen", listen, "-to", to)
	f.standIns = append(f.standIns, cmd)
	return err
}

// StartNode writes a member's settings file and starts its node with it.
func (f *Fleet) StartNode(m Member) error {
	path := filepath.Join(f.Dir, m.Name+".json")
	data, err := json.MarshalIndent(f.settings(m), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	cmd, err := f.start(m.Name, "cyclamensaddle", "node", "--settings", path)
	f.nodes[m.Name] = cmd
	return err
}

func (f *Fleet) settings(m Member) map[string]any {
	seeds := []string{}
	for _, o := range f.Members {
		if o.Name != m.Name && len(seeds) < 4 {
			seeds = append(seeds, o.Control)
		}
	}
	upstream := map[string]any{
		"address": m.Upstream, "slots": m.Service.Slots, "connections": m.Service.Connections,
		"cancel-path": "/cancel",
	}
	maps.Copy(upstream, f.Spec.Upstream)
	return map[string]any{
		"instance": m.Name, "service": m.Service.Name,
		"region": m.Locality.Region, "data-centre": m.Locality.DataCentre,
		"listen":   map[string]any{"calls": m.Calls, "data": m.Data, "control": m.Control, "admin": m.Admin},
		"upstream": upstream,
		"platform": map[string]any{"address": f.Platform, "region": f.Spec.PlatformRegion},
		"seeds":    seeds,
		"tuning":   tuning(f.Spec.Tuning),
		"trace":    f.Trace,
	}
}

func tuning(values map[string]any) map[string]any {
	if values == nil {
		return map[string]any{}
	}
	return values
}

func (f *Fleet) start(name, program string, args ...string) (*exec.Cmd, error) {
	logFile, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(f.Bin, program), args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	return cmd, errors.Wrap(cmd.Start(), "start "+name)
}

// Kill sends SIGKILL to a node's process and waits for its exit.
func (f *Fleet) Kill(name string) {
	cmd := f.nodes[name]
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// pauseTimeout bounds the wait until a process stands still.
const pauseTimeout = 5 * time.Second

// Pause suspends a node's process with SIGSTOP and waits until it stands still: on a busy
// machine its threads go on until one of them has got the signal.
func (f *Fleet) Pause(name string) error {
	process := f.nodes[name].Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, "pause "+name)
	}
	return Eventually(pauseTimeout, func() error { return checkStopped(process.Pid) })
}

// Resume continues a node's process after Pause.
func (f *Fleet) Resume(name string) error { return f.nodes[name].Process.Signal(syscall.SIGCONT) }

// Drain sends SIGTERM to a node's process and waits for its exit. It returns an
// error if the exit status is not zero, and kills the process after timeout.
func (f *Fleet) Drain(name string, timeout time.Duration) error {
	cmd := f.nodes[name]
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "signal "+name)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		return errors.Wrap(err, "drain "+name)
	case <-time.After(timeout):
		_ = cmd.Process.Kill()
		return errors.New("drain " + name + ": still running after " + timeout.String())
	}
}

// Stop kills all processes, paused ones included, and waits for their exit.
func (f *Fleet) Stop() {
	for _, cmd := range f.nodes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range f.standIns {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range f.nodes {
		_ = cmd.Wait()
	}
	for _, cmd := range f.standIns {
		_ = cmd.Wait()
	}
}

// Member returns the member with the given name. It panics if there is none.
func (f *Fleet) Member(name string) Member {
	for _, m := range f.Members {
		if m.Name == name {
			return m
		}
	}
	panic("fleet has no member " + name)
}

// NodeStatus reads a node's status from its admin address.
func (f *Fleet) NodeStatus(m Member) (node.Status, error) {
	var status node.Status
	err := getJSON("http://"+m.Admin+"/status", &status)
	return status, err
}

// Jobs returns how often each job was started, summed over all upstreams.
func (f *Fleet) Jobs() (map[string]int, error) {
	jobs := map[string]int{}
	for _, m := range f.Members {
		var stats upstub.Stats
		if err := getJSON("http://"+m.Upstream+"/stats", &stats); err != nil {
			return nil, err
		}
		for job, times := range stats.Jobs {
			jobs[job] += times
		}
	}
	return jobs, nil
}

// PlatformStats returns the platform stand-in's request counts.
func (f *Fleet) PlatformStats() (objapi.Stats, error) {
	var stats objapi.Stats
	err := getJSON("http://"+f.Platform+"/stats", &stats)
	return stats, err
}

// PlatformFault replaces the fault that the platform stand-in injects.
func (f *Fleet) PlatformFault(fault objapi.Fault) error {
	return post("http://"+f.Platform+"/fault", fault)
}

// UpstreamFault replaces the fault that an upstream stand-in injects.
func (f *Fleet) UpstreamFault(m Member, fault upstub.Fault) error {
	return post("http://"+m.Upstream+"/fault", fault)
}

// Object reads an object from the platform.
func (f *Fleet) Object(kind cyclam.Kind, name string) (cyclam.Object, error) {
	var object cyclam.Object
	err := getJSON("http://"+f.Platform+"/v1/objects/"+string(kind)+"/"+name, &object)
	return object, err
}

// requestTimeout bounds a request to a stand-in or to a node's admin address.
const requestTimeout = 2 * time.Second

// Get returns the body of a 200 response; any other status is an error.
func Get(url string) ([]byte, error) {
	status, body, err := fasthttp.GetTimeout(nil, url, requestTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "get "+url)
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("get %s: status %d", url, status)
	}
	return body, nil
}

func getJSON(url string, out any) error {
	body, err := Get(url)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode "+url)
}

func post(url string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBody(data)
	return errors.Wrap(fasthttp.DoTimeout(req, resp, requestTimeout), "post "+url)
}

// Eventually repeats a check every 20 ms until it passes or the timeout expires,
// and returns the last check's error.
func Eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// AwaitVersion waits until every listed node has the version, or a later one, in
// force.
func (f *Fleet) AwaitVersion(timeout time.Duration, version uint64, members []Member) error {
	return Eventually(timeout, func() error {
		for _, m := range members {
			status, err := f.NodeStatus(m)
			if err != nil {
				return err
			}
			if uint64(status.Version) < version {
				return errors.Errorf("%s holds version %d, want %d", m.Name, status.Version, version)
			}
		}
		return nil
	})
}

// AwaitAttached waits until every listed node is attached to the tree and knows
// at least as many endpoints as there are listed nodes.
func (f *Fleet) AwaitAttached(timeout time.Duration, members []Member) error {
	return Eventually(timeout, func() error {
		for _, m := range members {
			status, err := f.NodeStatus(m)
			if err != nil {
				return err
			}
			if !status.Attached || status.Endpoints < len(members) {
				return errors.Errorf("%s: attached %v, knows %d endpoints, want %d", m.Name, status.Attached, status.Endpoints, len(members))
			}
		}
		return nil
	})
}
