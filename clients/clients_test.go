package clients

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
)

const (
	// crowd is the number of hostile connections of a kind.
	crowd = 48
	// readers never read their answers, beside each crowd.
	readers = 8
	// idleCrowd exceeds the descriptors that the process may use.
	idleCrowd = 160
	// sendTime is how long a hostile connection sends, if the process reads all of it.
	sendTime = 4 * time.Second
	// receiveBuffer makes a client that does not read stop the sender soon.
	receiveBuffer = 4 << 10
)

// hostile sends something on a connection until it is done, the connection closes, or the
// process stops reading.
type hostile func(conn net.Conn)

func head(method, path string, lines ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n" + platformtest.AttemptLine(fmt.Sprint("hostile-", time.Now().UnixNano())) +
		"\r\nAuthorization: Token " + key + "\r\n" + strings.Join(append(lines, ""), "\r\n")
}

// write writes once.
func write(text string) hostile {
	return func(conn net.Conn) { _, _ = conn.Write([]byte(text)) }
}

// repeat writes a text and then another one a number of times, without end for 0.
func repeat(first, text string, times int) hostile {
	const batchBytes = 64 << 10
	return func(conn net.Conn) {
		_, err := conn.Write([]byte(first))
		batch := max(1, batchBytes/len(text))
		for sent := 0; err == nil && (times == 0 || sent < times); sent += batch {
			if times > 0 {
				batch = min(batch, times-sent)
			}
			_, err = conn.Write(bytes.Repeat([]byte(text), batch))
		}
	}
}

const chunked = "Transfer-Encoding: chunked"

// stopShort are chunked bodies within the limit that stop just short of their end.
func smallChunks(path string) hostile {
	return repeat(head("POST", path, chunked, ""), "1\r\nx\r\n", maxBodyBytes/2)
}

func largeChunk(path string) hostile {
	return repeat(head("POST", path, chunked, "")+fmt.Sprintf("%x\r\n", maxBodyBytes), "x", maxBodyBytes-1)
}

func announced(path string, length, sent int) hostile {
	return repeat(head("POST", path, fmt.Sprint("Content-Length: ", length), ""), "x", sent)
}

// neverRead sends requests and reads no answer.
func neverRead(conn net.Conn) {
	repeat("", head("GET", largePath, ""), 40)(conn)
}

// crowdOf runs hostile connections at once and leaves them open until close is called.
type crowdOf struct {
	group sync.WaitGroup
	mutex sync.Mutex
	conns []net.Conn
}

func (o *crowdOf) add(to netip.AddrPort, count int, kinds ...hostile) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	for i := range count {
		o.group.Go(func() {
			conn, err := dialer.Dial("tcp", to.String())
			if err != nil {
				return // The process does not accept it.
			}
			o.mutex.Lock()
			o.conns = append(o.conns, conn)
			o.mutex.Unlock()
			_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			kinds[i%len(kinds)](conn)
		})
	}
}

func (o *crowdOf) close() {
	for _, conn := range o.conns {
		_ = conn.Close()
	}
}

// meet lets a crowd at the process, and checks it while their connections are open and
// after they were closed.
func (p *process) meet(add func(o *crowdOf)) {
	p.Logf("peak memory before: %d KiB", p.peakMemory())
	o := &crowdOf{}
	defer o.close()
	add(o)
	done := make(chan struct{})
	go func() {
		o.group.Wait()
		close(done)
	}()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			p.countSockets()
		}
	}
	p.check("while they are open")
	o.close()
	p.check("after they closed")
}

func testCallers(t *testing.T, kinds ...hostile) {
	p := startRouter(t)
	p.meet(func(o *crowdOf) {
		o.add(p.listens["callers"], crowd, kinds...)
		o.add(p.listens["callers"], readers, neverRead)
	})
}

func TestHeadsOverTheLimit(t *testing.T) {
	testCallers(t, write("GET "+path+" HTTP/1.1\r\nHost: "+platformtest.Host+"\r\nLong: "+strings.Repeat("a", 1<<20)+"\r\n\r\n"))
}

func TestHeadsWithoutEnd(t *testing.T) {
	testCallers(t, repeat(head("GET", path), "Name: value\r\n", 0), repeat(head("GET", path)+"Long: ", "a", 0), repeat("GET /", "a", 0))
}

func TestHeadsThatStop(t *testing.T) {
	testCallers(t, repeat(head("GET", path), "Name: value\r\n", maxHeaderBytes/20))
}

func TestEmptyLinesWithoutEnd(t *testing.T) {
	testCallers(t, repeat("", "\r\n", 0), repeat("", "\n", 0), repeat(head("POST", path, "Content-Length: 1", "")+"x", "\r\n", 0))
}

func TestSmallChunks(t *testing.T) { testCallers(t, smallChunks(patientPath)) }

func TestLargeChunks(t *testing.T) { testCallers(t, largeChunk(patientPath)) }

func TestAnnouncedBodiesThatStop(t *testing.T) {
	testCallers(t, announced(patientPath, maxBodyBytes, maxBodyBytes-1))
}

func TestAnnouncedBodiesWithoutContent(t *testing.T) {
	testCallers(t, announced(patientPath, maxBodyBytes, 1))
}

func TestBodiesOverTheLimit(t *testing.T) {
	testCallers(t,
		announced(patientPath, 1<<30, 8*maxBodyBytes),
		repeat(head("POST", patientPath, chunked, "")+fmt.Sprintf("%x\r\n", 1<<30), "x", 0),
		repeat(head("POST", patientPath, chunked, ""), "4\r\nxxxx\r\n", 0))
}

func TestChunkExtensionsAndTrailersWithoutEnd(t *testing.T) {
	testCallers(t,
		repeat(head("POST", patientPath, chunked, "")+"1;name=", "a", 0),
		repeat(head("POST", patientPath, chunked, ""), "1;name=value\r\nx\r\n", 0),
		repeat(head("POST", patientPath, chunked, "")+"0\r\n", "Name: value\r\n", 0),
		repeat(head("POST", patientPath, chunked, "")+"0\r\nName: ", "a", 0))
}

// Requests that are refused by their head have a body that nobody reads.
func TestBodiesOfRequestsThatAreNotServed(t *testing.T) {
	testCallers(t, largeChunk("/none/"), announced("/none/", maxBodyBytes, 1), smallChunks("/none/"))
}

func TestReadersThatNeverRead(t *testing.T) {
	p := startRouter(t)
	p.meet(func(o *crowdOf) { o.add(p.listens["callers"], 2*crowd, neverRead) })
}

func TestManyConnections(t *testing.T) {
	for _, listener := range []string{"callers", "readiness", "resolution", "operators", "peers"} {
		t.Run(listener, func(t *testing.T) {
			p := startRouter(t)
			p.meet(func(o *crowdOf) { o.add(p.listens[listener], idleCrowd, write("")) })
		})
	}
}

func TestOtherListeners(t *testing.T) {
	for listener, path := range map[string]string{"readiness": "/", "resolution": "/", "operators": "/metrics"} {
		t.Run(listener, func(t *testing.T) {
			p := startRouter(t)
			p.meet(func(o *crowdOf) {
				o.add(p.listens[listener], crowd,
					repeat(head("GET", path), "Name: value\r\n", 0), repeat(head("GET", path)+"Long: ", "a", 0),
					repeat("", "\r\n", 0), largeChunk(path), smallChunks(path), announced(path, 1<<30, 8*maxBodyBytes),
					repeat("", head("GET", path, ""), 1000))
			})
		})
	}
}

func TestPeersOfRouters(t *testing.T)  { testPeers(startRouter(t)) }
func TestPeersOfSidecars(t *testing.T) { testPeers(startSidecar(t)) }

func testPeers(p *process) {
	p.meet(func(o *crowdOf) { o.add(p.listens["peers"], crowd/2, unfinishedMessages, repeat("", "\x00", 0)) })
}

func TestManyPeersOfSidecars(t *testing.T) {
	p := startSidecar(t)
	p.meet(func(o *crowdOf) { o.add(p.listens["peers"], idleCrowd, write("")) })
}

// unfinishedMessages opens streams on a link, announces a message of 15 MiB on each, and
// sends as much of it as the window of a stream allows.
func unfinishedMessages(conn net.Conn) {
	const (
		streams     = 64
		windowBytes = 256 << 10
	)
	for id := uint32(1); id < 2*streams; id += 2 {
		frame := muxFrame(1, 1, id, 0)
		frame = append(frame, muxFrame(0, 0, id, windowBytes)...)
		message := binary.AppendUvarint(nil, 15<<20)
		frame = append(append(frame, message...), make([]byte, windowBytes-len(message))...)
		if _, err := conn.Write(frame); err != nil {
			return
		}
	}
}

// muxFrame returns the head of a frame of a link: its kind (0 data, 1 window), flags (1
// opens a stream), stream and length.
func muxFrame(kind byte, flags uint16, stream, length uint32) []byte {
	frame := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(frame, stream), length)
}
