package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chervilswitch.example/platform/platformtest"
)

const (
	key          = "key-1"
	organisation = "workshop-1"
	// startTime is how long the routers may take until all of them are ready.
	startTime = 15 * time.Second
)

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mutex sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *recorder) log(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// router is one router process.
type router struct {
	name                         string
	callers, readiness, resolves netip.AddrPort
	file                         string
	command                      *exec.Cmd
	exited                       chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	*recorder
	folder   string
	trouble  bool
	store    *platformtest.Store
	routers  []*router
	replicas []*platformtest.Replica
}

// newDeployment starts a store with a configuration.
func newDeployment(r *recorder, trouble bool, configuration any) (*deployment, netip.AddrPort, error) {
	folder, err := os.MkdirTemp("", "chervil-review-")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	d := &deployment{recorder: r, folder: folder, trouble: trouble, store: &platformtest.Store{}}
	address := d.store.Start()
	d.store.PutConfiguration(configuration)
	return d, address, nil
}

// addReplica starts a replica and registers it.
func (d *deployment) addReplica(id, service, dataCentre string, slots int, handler platformtest.Handler) (*platformtest.Replica, error) {
	replica, err := platformtest.StartReplica(id, handler)
	if err != nil {
		return nil, err
	}
	d.replicas = append(d.replicas, replica)
	d.register(replica, service, dataCentre, slots)
	return replica, nil
}

func (d *deployment) register(replica *platformtest.Replica, service, dataCentre string, slots int) {
	registration := replica.Registration(service, dataCentre, "ready")
	registration["slots"] = slots
	d.store.PutTarget(replica.ID, registration)
}

// startRouters starts router processes, with the settings of deploy/router.json, and waits
// until all of them are ready and know each other.
func (d *deployment) startRouters(count int, store netip.AddrPort) error {
	const addressesEach = 5
	addresses, err := platformtest.FreeAddresses(count*addressesEach + 1)
	if err != nil {
		return err
	}
	var seeds []netip.AddrPort
	for i := range min(count, 3) {
		seeds = append(seeds, addresses[i*addressesEach+3])
	}
	for i := range count {
		a := addresses[i*addressesEach:]
		zone := fmt.Sprintf("zone-%c", 'a'+i%3)
		r := &router{name: fmt.Sprintf("entry-%d", i), callers: a[0], readiness: a[1], resolves: a[2]}
		settings := map[string]any{
			"instance": r.name, "dataCentre": zone, "region": "region-1", "callers": a[0], "readiness": a[1], "resolution": a[2],
			"peers": a[3], "operators": a[4], "store": store, "seeds": seeds,
			"sidecarPort": addresses[count*addressesEach].Port(), "retryRatio": 0.2, "retrySlack": 92, "fencing": true, "gracePeriod": "8s", "addressKeep": "2s",
		}
		raw, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		r.file = filepath.Join(d.folder, r.name+".json")
		if err := os.WriteFile(r.file, raw, 0o600); err != nil {
			return err
		}
		d.routers = append(d.routers, r)
		if err := d.start(r); err != nil {
			return err
		}
	}
	for until := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		if d.complete() {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the routers are not ready %s after their start", startTime)
		}
	}
}

// complete reports whether all routers are ready and name all others.
func (d *deployment) complete() bool {
	for _, r := range d.routers {
		if !platformtest.Ready(r.readiness) {
			return false
		}
		if named, err := platformtest.Resolve(r.resolves); err != nil || len(named) != len(d.routers) {
			return false
		}
	}
	return true
}

// start starts the process of a router. Its log goes to a file in the temporary folder.
func (d *deployment) start(r *router) error {
	output, err := os.OpenFile(filepath.Join(d.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	r.command = exec.Command("target/router", "--settings", r.file)
	r.command.Stdout, r.command.Stderr = output, output
	// The process also ends if this one does.
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	go func(c *exec.Cmd) {
		defer close(exited)
		_ = c.Wait() // A killed process is expected.
	}(r.command)
	d.log("%s started, callers %s", r.name, r.callers)
	return nil
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	for _, r := range d.routers {
		if r.command != nil && r.command.Process != nil {
			_ = r.command.Process.Kill()
			<-r.exited
		}
	}
	for _, replica := range d.replicas {
		replica.Close()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// result is what a caller saw of a request.
type result struct {
	status   int // 0 without a complete answer.
	body     string
	signed   bool
	took     time.Duration
	complete bool
	err      error
}

// send sends one request and reads its answer to the end, for at most a time.
func send(client *http.Client, limit time.Duration, entry netip.AddrPort, call platformtest.Call) result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	request, err := call.Request(ctx, entry)
	if err != nil {
		return result{err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return result{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, body: string(body), signed: platformtest.Signed(response.Header),
		took: time.Since(began), complete: err == nil, err: err,
	}
}
