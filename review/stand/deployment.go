// Command stand starts a small deployment of the project's own programs, with stand-ins
// for the store, the replicas and the callers, and plays one case of the second review.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
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

// heartbeatInterval is how often replicas write their registration.
const heartbeatInterval = 1200 * time.Millisecond

// record is the record of a run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// store is the project's store stand-in behind a listener that can stop answering.
type store struct {
	platformtest.Store

	address netip.AddrPort
	server  *http.Server
	mutex   sync.Mutex
	silent  bool
	reads   map[string]time.Time // When the last call on a topic arrived.
}

func startStore() (*store, error) {
	s := &store{reads: make(map[string]time.Time)}
	s.Start()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = netip.MustParseAddrPort(listener.Addr().String())
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// setSilent starts or ends a time in which calls are neither executed nor answered.
func (s *store) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

func (s *store) isSilent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent
}

// lastRead returns when the last call on a topic arrived.
func (s *store) lastRead(topic string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads[topic]
}

// serve answers a call. While the store is silent, a call is not answered, now or later: its
// channel returns nothing further.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.reads[r.URL.Query().Get("topic")] = time.Now()
	s.mutex.Unlock()
	if s.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	plain := &plainWriter{header: make(http.Header), status: http.StatusOK}
	s.ServeHTTP(plain, r)
	if s.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(plain.status)
	_, _ = w.Write(plain.body)
}

// plainWriter keeps a response without its headers, which the pages in force don't name.
type plainWriter struct {
	header http.Header
	status int
	body   []byte
}

func (w *plainWriter) Header() http.Header         { return w.header }
func (w *plainWriter) WriteHeader(status int)      { w.status = status }
func (w *plainWriter) Write(b []byte) (int, error) { w.body = append(w.body, b...); return len(b), nil }

// router is a process of the router.
type router struct {
	name, zone                     string
	callers, readiness, resolution netip.AddrPort
	command                        *exec.Cmd
}

// deployment is what a case runs.
type deployment struct {
	*record
	root, folder string
	store        *store
	// storeProxy returns the proxy between a router and the store; nil for none.
	storeProxy func(router int) *proxy
	routers    []*router

	mutex sync.Mutex
	beats map[*platformtest.Replica]func() // Write the registration of a replica.
}

// newDeployment starts a store.
func newDeployment(root string, record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, root: root, folder: folder, store: s, storeProxy: func(int) *proxy { return nil }, beats: make(map[*platformtest.Replica]func())}
	go d.heartbeats()
	return d, nil
}

// heartbeats writes all registrations again and again, except while the store is silent.
func (d *deployment) heartbeats() {
	for range time.Tick(heartbeatInterval) {
		if d.store.isSilent() {
			continue
		}
		d.mutex.Lock()
		for _, beat := range d.beats {
			beat()
		}
		d.mutex.Unlock()
	}
}

// register writes a replica's registration, and repeats it until withdraw.
func (d *deployment) register(r *platformtest.Replica, registration func() map[string]any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	beat := func() { d.store.PutTarget(r.ID, registration()) }
	d.beats[r] = beat
	beat()
}

// withdraw removes a replica's registration and returns when the store had done so.
func (d *deployment) withdraw(r *platformtest.Replica) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.beats, r)
	d.store.PutTarget(r.ID, nil)
	return time.Now()
}

// startRouters starts a router in each of the zones, and waits until they are ready.
func (d *deployment) startRouters(zones ...string) error {
	const each = 6
	count := len(zones)
	addresses, err := platformtest.FreeAddresses(each * count)
	if err != nil {
		return err
	}
	var seeds []netip.AddrPort
	for i := range min(3, count) {
		seeds = append(seeds, addresses[each*i+3])
	}
	for i := range count {
		own := addresses[each*i : each*(i+1)]
		// Names are like those on the platform: class, zone and a number in the zone.
		number := 1
		for _, zone := range zones[:i] {
			if zone == zones[i] {
				number++
			}
		}
		r := &router{name: fmt.Sprintf("frontend-%s-%d", zones[i], number), zone: zones[i], callers: own[0], readiness: own[1], resolution: own[2]}
		storeAddress := d.store.address
		if p := d.storeProxy(i); p != nil {
			storeAddress = p.address
		}
		settings := map[string]any{
			"instance": r.name, "dataCentre": r.zone, "region": "region", "callers": own[0], "readiness": own[1],
			"resolution": own[2], "peers": own[3], "operators": own[4], "store": storeAddress, "seeds": seeds,
			"sidecarPort": own[5].Port(), "retryRatio": 0.2, "retrySlack": 92, "fencing": true, "gracePeriod": "8s",
			"addressKeep": "2s", "memoryMb": 414, "fileDescriptors": 6150,
		}
		raw, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		file := filepath.Join(d.folder, r.name+".json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
		if err := d.startRouter(r, file); err != nil {
			return err
		}
		d.routers = append(d.routers, r)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range d.routers {
			if addresses, err := platformtest.Resolve(r.resolution); err == nil && len(addresses) == count && platformtest.Ready(r.readiness) {
				ready++
			}
		}
		if ready == count {
			d.printf("%d routers are ready", count)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready", ready, count)
		}
	}
}

// startRouter starts the process of a router with the command of the deploy file.
func (d *deployment) startRouter(r *router, settings string) error {
	output, err := os.OpenFile(filepath.Join(d.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	r.command = exec.Command("target/router", "--settings", settings)
	r.command.Dir = d.root
	r.command.Stdout, r.command.Stderr = output, output
	// The processes end with this one, also if it is killed.
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return r.command.Start()
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, r := range d.routers {
		_ = r.command.Process.Kill()
		_ = r.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// caller sends requests over channels of its own that stay open.
type caller struct {
	client http.Client
}

func newCaller() *caller {
	return &caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// send sends a request and returns the status of its answer, or 0 if there was none.
func (c *caller) send(entry netip.AddrPort, call platformtest.Call) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Left+time.Second)
	defer cancel()
	request, err := call.Request(ctx, entry)
	if err != nil {
		return 0, err
	}
	request.GetBody = nil // The transport must not send it again by itself.
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			if err.Error() != "EOF" {
				return response.StatusCode, err
			}
			return response.StatusCode, nil
		}
	}
}
