package clients

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
	"strings"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/ranks"

	qt "github.com/frankban/quicktest"
)

// The bounds of all tests: what the settings give each process.
const (
	memoryMB        = 64
	fileDescriptors = 300
	// reservedDescriptors are those of fileDescriptors that are meant for files.
	reservedDescriptors = 200

	maxBodyBytes   = 2 << 20
	maxHeaderBytes = 16 << 10
	// largeAnswerBytes is less than a router buffers of a response.
	largeAnswerBytes = 250 << 10

	key         = "key"
	path        = "/safe/"
	patientPath = "/patient/"
	largePath   = "/patient/large"
	// ordinaryTries is how often a caller sends a request that it is told to send again.
	ordinaryTries = 8
	// patience bounds the waits for what must happen at last.
	patience = 60 * time.Second
)

var binaries string

func TestMain(m *testing.M) {
	var err error
	binaries, err = os.MkdirTemp("", "clients")
	if err == nil {
		err = build("router", "sidecar")
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(binaries)
	os.Exit(code)
}

func build(programs ...string) error {
	for _, program := range programs {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(binaries, program), "../"+program).CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", program, err, out)
		}
	}
	return nil
}

// process is a running router or sidecar.
type process struct {
	*qt.C
	command  *exec.Cmd
	log      string
	ended    chan struct{}
	listens  map[string]netip.AddrPort
	ordinary func() error
	sockets  int // The most that were seen.
}

// start runs a program with settings and an address for each listener.
func start(c *qt.C, program string, settings map[string]any, listeners ...string) *process {
	p := &process{C: c, listens: make(map[string]netip.AddrPort), ended: make(chan struct{})}
	addresses, err := platformtest.FreeAddresses(len(listeners))
	c.Assert(err, qt.IsNil)
	settings["memoryMb"], settings["fileDescriptors"], settings["instance"] = memoryMB, fileDescriptors, "a"
	for i, listener := range listeners {
		settings[listener], p.listens[listener] = addresses[i], addresses[i]
	}
	raw, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(file, raw, 0o600), qt.IsNil)
	p.log = filepath.Join(c.TempDir(), "log")
	output, err := os.Create(p.log)
	c.Assert(err, qt.IsNil)
	defer output.Close()
	p.command = exec.Command(filepath.Join(binaries, program), "--settings", file)
	p.command.Stdout, p.command.Stderr = output, output
	c.Assert(p.command.Start(), qt.IsNil)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	c.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// startRouter runs a router with two targets, and waits until it serves.
func startRouter(t *testing.T) *process {
	c := qt.New(t)
	store := &platformtest.Store{}
	storeAddress := store.Start()
	c.Cleanup(store.Close)
	configuration := platformtest.Configuration(1, []platformtest.Route{
		{Prefix: path, Kind: "safe", Service: "svc", Attempts: 2, Timeout: 10 * time.Second, Objective: time.Second},
		{Prefix: patientPath, Kind: "safe", Service: "svc", Attempts: 2, Timeout: 10 * time.Minute, Objective: time.Second},
	}, map[string]string{key: "org"})
	configuration["limits"] = map[string]any{
		"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000,
	}
	store.PutConfiguration(configuration)
	large := strings.Repeat("a", largeAnswerBytes)
	for i := range 2 {
		replica, err := platformtest.StartReplica(fmt.Sprintf("i-%d", i), func(w *platformtest.ResponseWriter, r platformtest.Run) {
			if r.URI == largePath {
				w.WriteResponse(http.StatusOK, large)
				return
			}
			w.WriteResponse(http.StatusOK, fmt.Sprint(len(r.Body)))
		})
		c.Assert(err, qt.IsNil)
		c.Cleanup(replica.Close)
		store.PutTarget(replica.ID, replica.Registration("svc", "dc-a", "ready"))
	}
	p := start(c, "router", map[string]any{
		"dataCentre": "dc-a", "region": "here", "store": storeAddress, "sidecarPort": 1, "retryRatio": 0.2, "retrySlack": 90,
		"fencing": true, "gracePeriod": "3s", "addressKeep": "1s",
	}, "callers", "readiness", "resolution", "operators", "peers")
	p.ordinary = p.sendOrdinary
	c.Assert(eventually(func() bool { return platformtest.Ready(p.listens["readiness"]) && p.sendOrdinary() == nil }), qt.IsTrue)
	return p
}

// startSidecar runs a sidecar whose engine is down, and waits until it answers.
func startSidecar(t *testing.T) *process {
	c := qt.New(t)
	engine, err := platformtest.FreeAddresses(1)
	c.Assert(err, qt.IsNil)
	p := start(c, "sidecar", map[string]any{"engine": engine[0]}, "peers")
	p.ordinary = p.sendOrder
	c.Assert(eventually(func() bool { return p.sendOrder() == nil }), qt.IsTrue)
	return p
}

func eventually(condition func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// sendOrdinary sends one request with a small body on a new connection, and again while
// the answer says that it has not run.
func (p *process) sendOrdinary() error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	err := error(nil)
	for i := range ordinaryTries {
		if err = p.tryOrdinary(ctx, fmt.Sprintf("ordinary-%d-%d", time.Now().UnixNano(), i)); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

func (p *process) tryOrdinary(ctx context.Context, attempt string) error {
	body := strings.Repeat("b", 1000)
	request, err := platformtest.Call{Method: http.MethodPost, Path: path, Attempt: attempt, Key: key, Body: body}.Request(ctx, p.listens["callers"])
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || string(text) != fmt.Sprint(len(body))) {
		return fmt.Errorf("got status %d and %q, expected 200", response.StatusCode, text)
	}
	return err
}

// sendOrder sends a sidecar an order, whose answer says that the engine is down.
func (p *process) sendOrder() error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	link, err := peer.Dial(ctx, p.listens["peers"], nil)
	if err != nil {
		return err
	}
	defer link.Close()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Order{Order: peer.NewRankOrder(1, 1, ranks.Hold{Step: 1})}})
	if err != nil {
		return err
	}
	defer stream.Close()
	return stream.ReceiveWithin(new(peer.RankOrderResult), patience)
}

// check asserts that the process lives within its bounds and answers an ordinary request.
func (p *process) check(when string) {
	p.Helper()
	p.countSockets()
	err := p.ordinary()
	p.countSockets()
	memory := p.peakMemory()
	p.Logf("%s: peak memory %d KiB of %d, at most %d sockets of %d, ordinary request: %v", when, memory, memoryMB<<10, p.sockets, fileDescriptors-reservedDescriptors, err)
	select {
	case <-p.ended:
		p.Fatalf("%s: the process ended: %v", when, p.command.ProcessState)
	default:
	}
	p.Check(memory > 0 && memory <= memoryMB<<10, qt.IsTrue, qt.Commentf("%s: peak memory is %d KiB, expected at most %d", when, memory, memoryMB<<10))
	p.Check(p.sockets <= fileDescriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%s: %d sockets, expected at most %d", when, p.sockets, fileDescriptors-reservedDescriptors))
	p.Check(err, qt.IsNil, qt.Commentf("%s", when))
}

// peakMemory returns the peak of the resident memory in KiB, 0 once the process has ended.
func (p *process) peakMemory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	peak := 0
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(value, &peak)
		}
	}
	return peak
}

// countSockets updates the most sockets that were seen.
func (p *process) countSockets() {
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, _ := os.ReadDir(folder) // It is gone when the process has ended.
	count := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			count++
		}
	}
	p.sockets = max(p.sockets, count)
}
