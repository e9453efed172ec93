// Package soak runs the real programs as processes on loopback, breaks what is
// around them at random, and checks what callers and targets see.
package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

var (
	seeds  = flag.Int("seeds", 2, "how many seeds are played")
	first  = flag.Uint64("first", 1, "the first seed")
	length = flag.Duration("length", 6*time.Second, "how long faults go on for a seed")
)

const (
	instances = 3
	replicas  = 4
	callers   = 12
	events    = 5
	// recovery is when requests are served again after the last fault.
	recovery = 12 * time.Second
	pause    = 40 * time.Millisecond
	// shownLines is how much of a router's log a failure shows.
	shownLines = 4
	key        = "key"
)

// router is one instance's process.
type router struct {
	name     string
	settings map[string]any
	file     string
	command  *exec.Cmd
}

// soak is one seed's deployment.
type soak struct {
	*qt.C
	random   *rand.Rand
	binary   string
	folder   string
	store    *platformtest.Store
	storeBy  *proxy
	routers  []*router
	proxies  []*proxy
	replicas []*platformtest.Replica
	version  int

	mutex    sync.Mutex
	next     int
	runs     map[string]int  // By the caller's id of a try, for requests that may run once.
	promised map[string]bool // Tries that were said not to have run.
	served   int
	asked    int
	// answers counts statuses; 0 is none.
	answers map[int]int
	faults  []string
	wrong   []string
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "router")
	build := exec.Command("go", "build", "-o", binary, "../router")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %s\n%s", err, out)
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { play(t, seed, binary) })
	}
}

func play(t *testing.T, seed uint64, binary string) {
	s := &soak{
		C: qt.New(t), random: rand.New(rand.NewPCG(seed, 11)), binary: binary, folder: t.TempDir(),
		store: &platformtest.Store{}, runs: make(map[string]int), answers: make(map[int]int), promised: make(map[string]bool),
	}
	s.begin()
	defer s.end()
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { s.call(ctx) })
	}
	for until := time.Now().Add(*length); time.Now().Before(until); {
		s.fault()
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
	}
	s.heal()
	s.Assert(s.recovers(), qt.IsTrue, qt.Commentf("seed %d: not served again; faults: %s; %s", seed, strings.Join(s.faults, ", "), s.lastLines()))
	stop()
	group.Wait()
	s.check(seed)
}

// begin starts the store, the replicas and the instances.
func (s *soak) begin() {
	storeAt := s.store.Start()
	var err error
	s.storeBy, err = newProxy(storeAt)
	s.Assert(err, qt.IsNil)
	s.publish()
	for i := range replicas {
		s.addReplica(fmt.Sprintf("i-%d", i))
	}
	for i := range instances {
		s.addRouter(fmt.Sprintf("entry-%d", i))
	}
	s.Assert(s.recovers(), qt.IsTrue, qt.Commentf("the deployment does not start: %s", s.lastLines()))
}

// lastLines are the ends of the routers' logs.
func (s *soak) lastLines() string {
	text := ""
	for _, r := range s.routers {
		raw, err := os.ReadFile(filepath.Join(s.folder, r.name+".log"))
		s.Check(err, qt.IsNil)
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		text += r.name + ": " + strings.Join(lines[max(0, len(lines)-shownLines):], "\n") + "\n"
	}
	return text
}

func (s *soak) publish() {
	s.version++
	s.store.PutConfiguration(platformtest.Configuration(s.version, []platformtest.Route{
		{Prefix: "/safe/", Kind: "safe", Service: "svc", Attempts: 2, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond},
		{Prefix: "/once/", Kind: "unsafe", Service: "svc", Attempts: 1, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond},
		{Prefix: "/stream/", Kind: "streaming", Service: "svc", Attempts: 2, Timeout: 4 * time.Second, Objective: 500 * time.Millisecond, Resume: true},
	}, map[string]string{key: "org"}))
}

func (s *soak) addReplica(id string) {
	r, err := platformtest.StartReplica(id, s.behave)
	s.Assert(err, qt.IsNil)
	p, err := newProxy(r.Address())
	s.Assert(err, qt.IsNil)
	s.replicas, s.proxies = append(s.replicas, r), append(s.proxies, p)
	s.register(len(s.replicas)-1, "ready")
}

func (s *soak) register(i int, state string) {
	entry := s.replicas[i].Registration("svc", "dc-a", state)
	entry["address"] = s.proxies[i].address().String()
	s.store.PutTarget(s.replicas[i].ID, entry)
}

// behave is a replica's service: it notes what ran and answers.
func (s *soak) behave(w *platformtest.ResponseWriter, r platformtest.Run) {
	s.mutex.Lock()
	if strings.HasPrefix(r.URI, "/once/") {
		s.runs[r.Attempt]++
	}
	s.mutex.Unlock()
	if !strings.HasPrefix(r.URI, "/stream/") {
		w.WriteResponse(http.StatusOK, "echo "+r.Attempt)
		return
	}
	begin := 1
	if r.LastEvent != "" {
		begin = 1 + int(r.LastEvent[0]-'0')
	}
	w.StartStream()
	for id := begin; id <= events; id++ {
		w.WriteEvent(id)
		time.Sleep(pause)
	}
	w.EndStream()
}

func (s *soak) addRouter(name string) {
	r := &router{name: name, file: filepath.Join(s.folder, name+".json"), settings: map[string]any{
		"instance": name, "dataCentre": "dc-a", "region": "here", "store": s.storeBy.address().String(),
		"sidecarPort": 1, "retryRatio": 0.2, "retrySlack": 90, "fencing": true, "gracePeriod": "3s", "addressKeep": "1s",
	}}
	listeners := []string{"callers", "readiness", "resolution", "peers", "operators"}
	for i, address := range s.freeAddresses(len(listeners)) {
		r.settings[listeners[i]] = address.String()
	}
	raw, err := json.Marshal(r.settings)
	s.Assert(err, qt.IsNil)
	s.Assert(os.WriteFile(r.file, raw, 0o600), qt.IsNil)
	s.routers = append(s.routers, r)
	s.start(r)
}

// freeAddresses finds addresses that differ: one that was given back may be given
// again (seeds 105, 108 and 4007 of the first version did not start for that).
func (s *soak) freeAddresses(count int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		s.Assert(err, qt.IsNil)
		defer listener.Close()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses
}

// start runs a router's process; its log goes to a file of the seed's folder.
func (s *soak) start(r *router) {
	output, err := os.OpenFile(filepath.Join(s.folder, r.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	s.Assert(err, qt.IsNil)
	defer output.Close()
	r.command = exec.Command(s.binary, "--settings", r.file)
	r.command.Stdout, r.command.Stderr = output, output
	s.Assert(r.command.Start(), qt.IsNil)
}

// restart ends a router's process by a signal and starts it again.
func (s *soak) restart(r *router, signal syscall.Signal) {
	_ = r.command.Process.Signal(signal)
	_ = r.command.Wait() // A killed process ends with an error.
	s.start(r)
}

func (r *router) address(listener string) netip.AddrPort {
	return netip.MustParseAddrPort(r.settings[listener].(string))
}

// fault breaks one thing, or mends one.
func (s *soak) fault() {
	r := s.routers[s.random.IntN(len(s.routers))]
	// The other half stays sound, so that requests can be served: at seed 133 of the
	// first version all four links were broken or drained at once.
	i := s.random.IntN(len(s.replicas) / 2)
	m := mode(s.random.IntN(int(modes)))
	name := ""
	switch s.random.IntN(9) {
	case 0:
		name = "kill " + r.name
		s.restart(r, syscall.SIGKILL)
	case 1:
		name = "stop " + r.name
		s.restart(r, syscall.SIGTERM)
	case 2:
		name = "pause " + r.name
		_ = r.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		_ = r.command.Process.Signal(syscall.SIGCONT)
	case 3:
		trouble := platformtest.StoreFault(s.random.IntN(3))
		name = fmt.Sprintf("store trouble %d", trouble)
		s.store.SetFault(trouble)
	case 4:
		name = fmt.Sprintf("link to the store %d", m)
		s.storeBy.set(m)
	case 5, 6:
		name = fmt.Sprintf("link to %s %d", s.replicas[i].ID, m)
		s.proxies[i].set(m)
	case 7:
		name = "new configuration"
		s.publish()
	case 8:
		name = "drain " + s.replicas[i].ID
		s.register(i, "draining")
	}
	s.faults = append(s.faults, name)
}

// heal ends all troubles.
func (s *soak) heal() {
	s.store.SetFault(platformtest.NoFault)
	s.storeBy.set(passing)
	for i := range s.replicas {
		s.proxies[i].set(passing)
		s.register(i, "ready")
	}
}

// recovers waits until each instance serves a request.
func (s *soak) recovers() bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(recovery); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		good := 0
		for _, r := range s.routers {
			if s.once(client, r.address("callers"), "/safe/", s.attempt()) == http.StatusOK {
				good++
			}
		}
		if good == len(s.routers) {
			return true
		}
	}
	return false
}

func (s *soak) attempt() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	return fmt.Sprintf("a%06d", s.next)
}

// call asks as a caller does, over connections that are kept, until the end.
func (s *soak) call(ctx context.Context) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}}
	paths := []string{"/safe/", "/once/", "/stream/"}
	for i := 0; ctx.Err() == nil; i++ {
		at := s.routers[i%len(s.routers)].address("callers")
		s.once(client, at, paths[i%len(paths)], s.attempt())
		time.Sleep(pause)
	}
}

// once sends one request and checks its answer; 0 means that there is none.
func (s *soak) once(client *http.Client, at netip.AddrPort, path, attempt string) int {
	request, err := platformtest.Call{Method: http.MethodPost, Path: path, Attempt: attempt, Key: key, Left: 2 * time.Second}.Request(context.Background(), at)
	s.Check(err, qt.IsNil)
	s.note(func() { s.asked++ })
	response, err := client.Do(request)
	if err != nil {
		s.note(func() { s.answers[0]++ })
		return 0
	}
	s.note(func() { s.answers[response.StatusCode]++ })
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.note(func() { s.judge(path, attempt, response, string(body), err) })
	return response.StatusCode
}

func (s *soak) note(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// judge checks what a caller got; the mutex is held.
func (s *soak) judge(path, attempt string, response *http.Response, body string, cut error) {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s.promised[attempt] = true
		return
	case http.StatusOK:
	default:
		return
	}
	want := "echo " + attempt
	if path == "/stream/" {
		want = ""
		for id := 1; id <= events; id++ {
			want += fmt.Sprintf("id: %d\ndata: event-%d\n\n", id, id)
		}
	}
	switch {
	case !platformtest.Signed(response.Header):
		s.wrong = append(s.wrong, attempt+": a success that no target signed")
	case platformtest.Attempt(response.Header) != attempt:
		s.wrong = append(s.wrong, attempt+": an answer to another request")
	case cut == nil && body != want:
		s.wrong = append(s.wrong, fmt.Sprintf("%s: %q looks whole", attempt, body))
	case cut != nil && !strings.HasPrefix(want, body):
		s.wrong = append(s.wrong, fmt.Sprintf("%s: %q is not the beginning of the answer", attempt, body))
	case cut == nil:
		s.served++
	}
}

// check looks at what targets ran, once all is quiet.
func (s *soak) check(seed uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for attempt, runs := range s.runs {
		if runs > 1 {
			s.wrong = append(s.wrong, fmt.Sprintf("%s ran %d times", attempt, runs))
		}
		if s.promised[attempt] {
			s.wrong = append(s.wrong, attempt+" ran, though it was said not to have run")
		}
	}
	s.Logf("seed %d: %d asked, %d served, faults: %s; answers: %v", seed, s.asked, s.served, strings.Join(s.faults, ", "), s.answers)
	s.Check(s.wrong, qt.HasLen, 0, qt.Commentf("seed %d, faults: %s", seed, strings.Join(s.faults, ", ")))
	s.Check(s.served > s.asked/4, qt.IsTrue, qt.Commentf("seed %d: %d of %d served", seed, s.served, s.asked))
}

// end kills the processes that this seed started.
func (s *soak) end() {
	for _, r := range s.routers {
		_ = r.command.Process.Kill()
		_ = r.command.Wait()
	}
	for i := range s.replicas {
		s.replicas[i].Close()
		s.proxies[i].close()
	}
	s.storeBy.close()
	s.store.Close()
}
