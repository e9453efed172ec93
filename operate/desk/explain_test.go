package desk

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// routerLog is a router's log with two refused requests and what precedes them.
const routerLog = `
entry-a {"fields":{"event":2016,"instance":"entry-a","change":"reported","parts":["p2"],"hold":"1m0s","reporter":"entry-b","target":"t1"},"timestamp":"2026-01-01T00:00:01Z","message":"quarantineChanged"}
{"fields":{"event":2016,"instance":"entry-a","change":"reported","parts":["p9"],"hold":"5s","reporter":"entry-a","target":"t7"},"timestamp":"2026-01-01T00:00:02Z","message":"quarantineChanged"}
{"fields":{"event":2208,"instance":"entry-b","group":"g","closed":["svc"]},"timestamp":"2026-01-01T00:00:03Z","message":"groupsChanged"}
{"fields":{"event":2012,"instance":"entry-a","request":"r1","service":"svc","reason":"quarantined","retryAfter":"50s","sharedParts":["p1","p2"],"mayHaveRun":false},"timestamp":"2026-01-01T00:00:04Z","message":"requestTurnedAway"}
{"fields":{"event":1303,"instance":"entry-a","request":"r1","service":"svc","outcome":"quarantined","status":503,"took":"1ms"},"timestamp":"2026-01-01T00:00:04Z","message":"requestEnded"}
{"fields":{"event":1303,"instance":"entry-a","request":"r2","service":"svc","outcome":"groupDown","status":503,"took":"1ms"},"timestamp":"2026-01-01T00:00:05Z","message":"requestEnded"}
{"fields":{"event":2208,"instance":"entry-b","group":"g","closed":null},"timestamp":"2026-01-01T00:00:06Z","message":"groupsChanged"}
not JSON
{"fields":{"event":2017,"instance":"entry-a","target":"t3","perSecond":2.5,"previous":0,"source":"response"},"timestamp":"2026-01-01T00:00:07Z","message":"targetLimitChanged"}
{"fields":{"event":2017,"instance":"entry-b","target":"t4","perSecond":1,"previous":0,"source":"response"},"timestamp":"2026-01-01T00:00:08Z","message":"targetLimitChanged"}
{"fields":{"event":1108,"instance":"entry-a","state":"sharing","count":4},"timestamp":"2026-01-01T00:00:08Z","message":"entriesChanged"}
{"fields":{"event":1108,"instance":"entry-a","state":"silent","entry":"entry-b"},"timestamp":"2026-01-01T00:00:08Z","message":"entriesChanged"}
{"fields":{"event":2012,"instance":"entry-a","request":"r5","service":"svc","reason":"rateLimited","retryAfter":"2s"},"timestamp":"2026-01-01T00:00:09Z","message":"requestTurnedAway"}
{"fields":{"event":2012,"instance":"entry-a","request":"r6","service":"svc","reason":"quarantined","retryAfter":"50s","sharedParts":[],"identity":"request:1f"},"timestamp":"2026-01-01T00:00:10Z","message":"requestTurnedAway"}
{"fields":{"event":2016,"instance":"entry-a","change":"reported","parts":["request:1f"],"hold":"1m0s","reporter":"entry-c","target":"t9"},"timestamp":"2026-01-01T00:00:05Z","message":"quarantineChanged"}
`

func TestExplainNamesTheCauseOfARefusal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	qt.Assert(t, os.WriteFile(file, []byte(routerLog), 0o600), qt.IsNil)
	for request, test := range map[string]struct {
		lines          int
		cause, another string
	}{
		"r1": {3, "quarantineChanged (2016): target=t1 change=reported parts=p2 hold=1m0s reporter=entry-b", "p9"},
		"r5": {3, "entriesChanged (1108): state=sharing count=4", "t4"},
		"r6": {2, "quarantineChanged (2016): target=t9 change=reported parts=request:1f hold=1m0s reporter=entry-c", "p2"},
		"r2": {2, "groupsChanged (2208): group=g closed=svc", "quarantineChanged"},
	} {
		c := qt.New(t)
		code, text := runCommand("explain", request, file)
		c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", text))
		lines := strings.Split(strings.TrimSpace(text), "\n")
		c.Assert(lines, qt.HasLen, test.lines)
		c.Assert(lines[len(lines)-1], qt.Contains, test.cause)
		c.Assert(text, qt.Not(qt.Contains), test.another)
	}
	code, text := runCommand("explain", "r3", file)
	qt.Assert(t, code, qt.Equals, ExitFailure)
	qt.Assert(t, text, qt.Contains, `contains no decision about request "r3"`)
}
