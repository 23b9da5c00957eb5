package node

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/archive"
	"silvergate/internal/identity"
	"silvergate/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var (
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	testKey    = archive.GrantKey(bytes.Repeat([]byte{3}, archive.KeySize))
)

// testSite creates certificates, and nodes whose handlers tests call directly, without a network.
type testSite struct {
	t     *testing.T
	dir   string
	auth  *identity.Authority
	certs map[string]*x509.Certificate
}

func newTestSite(t *testing.T) *testSite {
	dir := t.TempDir()
	a, err := identity.Init(filepath.Join(dir, "authority"), "valley", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(hex.EncodeToString(testKey)), 0o600); err != nil {
		t.Fatal(err)
	}
	return &testSite{t, dir, a, map[string]*x509.Certificate{}}
}

func (s *testSite) certDir(who string) string {
	dir := filepath.Join(s.dir, "certs", strings.ReplaceAll(who, "/", "."))
	if _, err := os.Stat(dir); err == nil {
		return dir
	}
	i, err := identity.Parse("valley", who)
	if err == nil {
		_, err = s.auth.Issue(i, dir, 0)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return dir
}

func (s *testSite) cert(who string) *x509.Certificate {
	if c := s.certs[who]; c != nil {
		return c
	}
	raw, err := os.ReadFile(filepath.Join(s.certDir(who), "cert.pem"))
	if err != nil {
		s.t.Fatal(err)
	}
	b, _ := pem.Decode(raw)
	c, err := x509.ParseCertificate(b.Bytes)
	if err != nil {
		s.t.Fatal(err)
	}
	s.certs[who] = c
	return c
}

func (s *testSite) node(name string, members []Member, config func(*Config)) *Node {
	c := DefaultConfig()
	c.Name, c.Dir, c.Certs, c.GrantKey, c.Members = name, filepath.Join(s.dir, name), s.certDir("node/"+name), filepath.Join(s.dir, "key"), members
	if config != nil {
		config(&c)
	}
	n, err := Open(c, discardLog)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(n.Stop)
	return n
}

// call sends a request with the certificate of who.
func (s *testSite) call(h http.Handler, who, method, target string, body []byte) (int, string) {
	r := httptest.NewRequest(method, target, bytes.NewReader(body))
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{s.cert(who)}}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func grantOf(a archive.Attempt, team, customer string, at int64) archive.Grant {
	return testKey.Sign(archive.Grant{Attempt: a, Terms: archive.Terms{Owner: archive.Owner{Team: team, Customer: customer}, Class: "forecast", Urgency: "prod"}, At: at})
}

// attemptRecords returns the records of an attempt: its grant, some output, a file and its end.
func attemptRecords(a archive.Attempt, g archive.Grant, text string) []archive.Record {
	seg := archive.Segment{WriteTimes: []archive.WriteTime{{To: len(text), At: 1000}}, Data: []byte(text)}
	chunk := archive.NewRecord(archive.FilesAttempt(a.Job), archive.KindChunk, "", []byte("file of "+text))
	f := archive.File{Path: "out/result", Size: int64(len("file of " + text)), Digest: chunk.Key.Digest, Chunks: []string{chunk.Key.Digest}}
	return []archive.Record{archive.NewRecord(a, archive.KindGrant, "", archive.Encode(g)),
		archive.NewRecord(archive.FilesAttempt(a.Job), archive.KindGrant, "", archive.Encode(g)),
		archive.NewRecord(a, archive.KindSegment, archive.FormatPosition(archive.Stdout, 0, len(text)), seg.Encode()), chunk,
		archive.NewRecord(a, archive.KindFile, "", archive.Encode(f)),
		archive.NewRecord(a, archive.KindEnd, "", archive.Encode(archive.End{Cause: "done", Sizes: map[string]int64{archive.Stdout: int64(len(text))}, Files: 1}))}
}

func encodeFrames(records []archive.Record) (b []byte) {
	for i := range records {
		b = archive.AppendFrame(b, &records[i])
	}
	return b
}

// TestReadersSeeOnlyTheirOwn guards against readers that learn of others' attempts. It draws
// identities, requests and their order: jobs begin, move and expire while all kinds of
// readers ask for them by name or guess, by prefix, by label and by the token of a page. No response
// may mention an attempt that the reader may not see, and the response to a denied request
// must equal, byte for byte, the one for something that does not exist. ACCESS sets the
// number of requests; the default is 3000.
func TestReadersSeeOnlyTheirOwn(t *testing.T) {
	s := newTestSite(t)
	n := s.node("one", []Member{{"one", "127.0.0.1:1"}}, nil)
	h := n.handler()
	teams, customers := []string{"office", "guests"}, []string{"baker", "miller", ""}
	var who []string
	for _, team := range teams {
		who = append(who, "team/"+team)
		for _, c := range customers {
			if c != "" {
				who = append(who, "customer/"+team+"/"+c)
			}
		}
	}
	who = append(who, "operator/ann", "node/one", "agent/m-0", "agent/m-1", "agent/office")
	type storedAttempt struct {
		a       archive.Attempt
		owner   archive.Owner
		expired bool
	}
	var all []storedAttempt
	asked, allowed, denied := 0, 0, 0
	limit := 3000
	if v, err := strconv.Atoi(os.Getenv("ACCESS")); err == nil {
		limit = v
	}
	text := func(a archive.Attempt, o archive.Owner) string {
		return fmt.Sprintf("secret of %s/%s in %s", o.Team, o.Customer, a)
	}
	for round := 0; asked < limit; round++ {
		_ = flag.Set("rapid.seed", strconv.Itoa(20261201+round))
		rapid.Check(t, func(t *rapid.T) {
			pick := func(list []string, label string) string { return rapid.SampledFrom(list).Draw(t, label) }
			for range 30 {
				switch k := rapid.IntRange(0, 19).Draw(t, "step"); {
				case len(all) == 0 || k == 0 && len(all) < 300: // a job begins or moves to another machine
					a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", len(all)), Task: rapid.IntRange(0, 2).Draw(t, "task"), Try: 1, Machine: pick([]string{"m-0", "m-1"}, "machine")}
					o := archive.Owner{Team: pick(teams, "team"), Customer: pick(customers, "customer")}
					if len(all) > 0 && rapid.Bool().Draw(t, "moves") {
						last := all[len(all)-1]
						a, o = last.a, last.owner
						a.Try++
						a.Machine = pick([]string{"m-0", "m-1"}, "machine")
					}
					g := grantOf(a, o.Team, o.Customer, 1_700_000_000_000)
					body := encodeFrames(attemptRecords(a, g, text(a, o)))
					if st, why := s.call(h, "agent/"+a.Machine, "POST", PathRecords, body); st != 200 {
						t.Fatalf("the attempt's machine can't write %s: %d %s", a, st, why)
					}
					all = append(all, storedAttempt{a, o, false})
				case k == 1 && rapid.IntRange(0, 3).Draw(t, "expire") == 0:
					x := &all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
					record := archive.NewRecord(x.a, archive.KindExpired, "", archive.Encode(archive.Expired{All: true, At: 5, Reason: archive.ExpiredAge}))
					if err := n.store(context.Background(), []archive.Record{record}); err != nil {
						t.Fatal(err)
					}
					x.expired = true
				default:
					asked++
					x := all[rapid.IntRange(0, len(all)-1).Draw(t, "of")]
					reader := pick(who, "who")
					id, _ := identity.Parse("valley", reader)
					may := archive.Access(id, archive.Read, x.owner, "")
					absent := x.a
					absent.Job = "wk-99999999"
					var target, absentTarget string
					switch rapid.IntRange(0, 6).Draw(t, "request") {
					case 0:
						target, absentTarget = PathAttempts+"?files=true&job="+x.a.Job, PathAttempts+"?files=true&job="+absent.Job
					case 1:
						q := url.Values{"job": {x.a.Job}, "from": {x.a.Job + "/00000000/00000000/a"}}
						target = PathAttempts + "?" + q.Encode()
						q.Set("job", absent.Job)
						absentTarget = PathAttempts + "?" + q.Encode()
					case 2:
						target, absentTarget = PathStream+"?stream=stdout&attempt="+url.QueryEscape(x.a.String()), PathStream+"?stream=stdout&attempt="+url.QueryEscape(absent.String())
					case 3:
						target, absentTarget = PathFile+"?path=out/result&chunk=0&attempt="+url.QueryEscape(x.a.String()), PathFile+"?path=out/result&chunk=0&attempt="+url.QueryEscape(absent.String())
					case 4: // a list by label, the reader's own or another's
						target = PathAttempts + "?" + url.Values{pick([]string{"team", "customer", "class", "machine", "day"}, "by"): {pick([]string{x.owner.Team, x.owner.Customer, "forecast", "m-0", "2023-11-14", "all"}, "value")}}.Encode()
					case 5: // a prefix of a job's name
						target = PathAttempts + "?job=" + x.a.Job[:rapid.IntRange(0, len(x.a.Job)).Draw(t, "prefix")]
					case 6: // a request that only nodes may make
						q := url.Values{"job": {x.a.Job}, "label": {"all"}, "attempt": {x.a.String()}, "stream": {"stdout"}, "leaf": {"1"}}
						target = pick([]string{PathRows, PathCuts, PathTree, PathLeaf}, "inner") + "?" + q.Encode()
						if id.Kind != identity.Node {
							absentTarget = "/nowhere"
							may = false
						}
					}
					st, got := s.call(h, reader, "GET", target, nil)
					for _, y := range all {
						if !archive.Access(id, archive.Read, y.owner, "") && (strings.Contains(got, text(y.a, y.owner)) || strings.Contains(got, y.a.Job+"/") || strings.Contains(got, `"`+y.a.Job+`"`)) {
							t.Fatalf("%s requests %s, and the response mentions %s of %v: %.300s", reader, target, y.a, y.owner, got)
						}
					}
					switch {
					case absentTarget != "" && !may:
						denied++
						if st2, got2 := s.call(h, reader, "GET", absentTarget, nil); st2 != st || got2 != got {
							t.Fatalf("%s requests %s: %d %.200s; for something that does not exist: %d %.200s", reader, target, st, got, st2, got2)
						}
					case absentTarget != "" && may && !x.expired:
						allowed++
						if st != 200 || strings.Contains(target, PathFile) && got != "file of "+text(x.a, x.owner) {
							t.Fatalf("%s may read %s, but the response to %s is %d %.200s", reader, x.a, target, st, got)
						}
					}
				}
			}
		})
	}
	t.Logf("%d requests for %d attempts: %d allowed, %d denied", asked, len(all), allowed, denied)
	if allowed == 0 || denied == 0 {
		t.Error("no request was allowed, or none was denied")
	}
}

// TestWriteAuthorization guards against accepting records of an attempt from anybody but the
// machine that its grant names, or another node.
func TestWriteAuthorization(t *testing.T) {
	s := newTestSite(t)
	n := s.node("one", []Member{{"one", "127.0.0.1:1"}}, nil)
	h := n.handler()
	a := archive.Attempt{Job: "wk-000001", Task: 0, Try: 2, Machine: "m-0"}
	g := grantOf(a, "office", "baker", 1)
	good := attemptRecords(a, g, "hello")
	other := a
	other.Try = 1
	foreign := archive.Attempt{Job: "wk-000002", Task: 0, Try: 1, Machine: "m-0"}
	forged := g
	forged.Customer = "miller"
	expiry := archive.NewRecord(a, archive.KindExpired, "", archive.Encode(archive.Expired{All: true, Reason: "x"}))
	big := make([]byte, MaxPut+1)
	cut := encodeFrames(good)
	for _, c := range []struct {
		name, who string
		body      []byte
		want      int
	}{
		{"its own", "agent/m-0", encodeFrames(good), 200},
		{"again", "agent/m-0", encodeFrames(good), 200},
		{"another machine", "agent/m-1", encodeFrames(good), 403},
		{"an operator", "operator/ann", encodeFrames(good), 403},
		{"the customer", "customer/office/baker", encodeFrames(good), 403},
		{"another node", "node/two", encodeFrames(good), 200},
		{"without a grant", "agent/m-0", encodeFrames(good[2:3]), 403},
		{"another attempt under its grant", "agent/m-0", encodeFrames(append(attemptRecords(other, g, "x")[2:3], good[0])), 403},
		{"another job's files", "agent/m-0", encodeFrames(append(attemptRecords(foreign, g, "x")[3:4], good[0])), 403},
		{"a forged grant", "agent/m-0", encodeFrames([]archive.Record{archive.NewRecord(a, archive.KindGrant, "", archive.Encode(forged))}), 403},
		{"a mark of expiry", "agent/m-0", encodeFrames([]archive.Record{good[0], expiry}), 403},
		{"nothing", "agent/m-0", nil, 400},
		{"cut off", "agent/m-0", cut[:len(cut)-3], 400},
		{"garbage", "agent/m-0", []byte("hello"), 400},
		{"too large", "agent/m-0", big, 413},
	} {
		if st, body := s.call(h, c.who, "POST", PathRecords, c.body); st != c.want || st == 403 && !strings.Contains(body, `"refused"`) {
			t.Errorf("%s: %d %s", c.name, st, body)
		}
	}
	n.pendingBytes = int64(n.cfg.PendingMB * (1 << 20))
	if st, _ := s.call(h, "agent/m-0", "POST", PathRecords, encodeFrames(good)); st != 503 {
		t.Errorf("with the limit of pending writes reached: status %d, want 503", st)
	}
}

// TestExpiredRecordsStayDropped guards against expired records that are stored again when
// another node or an agent sends them again, and against readers that are not told of the
// expiry.
func TestExpiredRecordsStayDropped(t *testing.T) {
	s := newTestSite(t)
	n := s.node("one", []Member{{"one", "127.0.0.1:1"}}, func(c *Config) {
		c.Retention = archive.Retention{Rules: []archive.Rule{{Class: "forecast", KeepS: 60}}}
		c.TombstoneS = 3600
	})
	h := n.handler()
	a := archive.Attempt{Job: "wk-000001", Task: 0, Try: 1, Machine: "m-0"}
	records := attemptRecords(a, grantOf(a, "office", "baker", 1), "hello")
	if st, body := s.call(h, "agent/m-0", "POST", PathRecords, encodeFrames(records)); st != 200 {
		t.Fatal(st, body)
	}
	read := func() Attempts {
		_, body := s.call(h, "customer/office/baker", "GET", PathAttempts+"?files=true&job="+a.Job, nil)
		var p Attempts
		if err := json.Unmarshal([]byte(body), &p); err != nil {
			t.Fatal(body, err)
		}
		return p
	}
	ctx := context.Background()
	if err := n.Expire(ctx); err != nil || len(read().Attempts) != 1 || read().Attempts[0].Expired != nil {
		t.Fatalf("%v: %+v", err, read())
	}
	later := time.Now().Add(2 * time.Minute)
	n.Now = func() time.Time { return later }
	for range 2 {
		if err := n.Expire(ctx); err != nil {
			t.Fatal(err)
		}
		p := read()
		if len(p.Attempts) != 1 || p.Attempts[0].Expired == nil || p.Attempts[0].Expired.Reason != archive.ExpiredAge || len(p.Attempts[0].Cover) > 0 || len(p.Attempts[0].Files) > 0 {
			t.Fatalf("%+v", p)
		}
		if n.vault.Has(records[2].Key) || n.vault.Has(records[3].Key) {
			t.Fatal("expired output or an expired chunk is still stored")
		}
		if st, body := s.call(h, "agent/m-0", "POST", PathRecords, encodeFrames(records)); st != 200 {
			t.Fatal(st, body)
		}
	}
	_, body := s.call(h, "customer/office/baker", "GET", PathStream+"?stream=stdout&attempt="+url.QueryEscape(a.String()), nil)
	if !strings.Contains(body, archive.ExpiredAge) {
		t.Errorf("the stream's response does not give the reason of the expiry: %s", body)
	}
	// The same after the node restarts.
	n.Stop()
	n = s.node("one", n.cfg.Members, func(c *Config) { c.Retention, c.TombstoneS = n.cfg.Retention, 3600 })
	h = n.handler()
	if st, _ := s.call(h, "agent/m-0", "POST", PathRecords, encodeFrames(records)); st != 200 || n.vault.Has(records[2].Key) {
		t.Error("the records were stored again after the node restarted")
	}
	n.Now = func() time.Time { return later.Add(2 * time.Hour) }
	if err := n.Expire(ctx); err != nil || len(read().Attempts) != 0 {
		t.Errorf("%v: the tombstone is still kept after TombstoneS: %+v", err, read())
	}
}

// TestFilesBeyondTheFirstPageOfAJobAreGiven guards against files that are listed and can't be read: those of a
// job's attempts after its first page.
func TestFilesBeyondTheFirstPageOfAJobAreGiven(t *testing.T) {
	const attempts = 2*rowsPage + 50
	s := newTestSite(t)
	n := s.node("one", []Member{{"one", "127.0.0.1:1"}}, nil)
	h := n.handler()
	attempt := func(i int) archive.Attempt {
		return archive.Attempt{Job: "wk-000001", Task: i, Try: 1, Machine: fmt.Sprint("m-", i%12)}
	}
	content := func(i int) string { return fmt.Sprint("content of ", i) }
	for i := range attempts {
		a := attempt(i)
		body := encodeFrames(attemptRecords(a, grantOf(a, "office", "baker", 1), content(i)))
		if st, answer := s.call(h, "agent/"+a.Machine, "POST", PathRecords, body); st != 200 {
			t.Fatal(st, answer)
		}
	}
	for i := range attempts {
		name := attempt(i).String()
		for _, who := range []string{"customer/office/baker", "operator/admin"} {
			st, got := s.call(h, who, "GET", PathFile+"?path=out/result&chunk=0&attempt="+url.QueryEscape(name), nil)
			if st != 200 || got != "file of "+content(i) {
				t.Fatalf("%s reads the file of %s: %d %q", who, name, st, got)
			}
		}
		// A node of an earlier version answers a request for one attempt with this page.
		page, err := n.listRows("wk-000001", "all", name[:len(name)-1], true)
		if err != nil || !slices.ContainsFunc(page.Rows, func(row Row) bool { return row.Attempt == name }) {
			t.Fatalf("the page for %s does not have it: %v", name, err)
		}
	}
	listed := map[string]bool{}
	for from := ""; ; {
		_, body := s.call(h, "customer/office/baker", "GET", PathAttempts+"?job=wk-000001&from="+url.QueryEscape(from), nil)
		var page Attempts
		if err := json.Unmarshal([]byte(body), &page); err != nil {
			t.Fatal(body, err)
		}
		for i := range page.Attempts {
			listed[page.Attempts[i].Attempt.String()] = true
		}
		if from = page.Next; from == "" {
			break
		}
	}
	if len(listed) != attempts {
		t.Errorf("%d attempts are listed, want %d", len(listed), attempts)
	}
}

// TestStoppedBeforeItServes guards against a node that leaves its listener, and so its port,
// open when Stop is called between Open and Serve.
func TestStoppedBeforeItServes(t *testing.T) {
	s := newTestSite(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := s.node("one", []Member{{"one", l.Addr().String()}}, nil)
	n.Stop()
	if err := n.Serve(l); err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the listener is still open: %v", err)
	}
}

// TestMendingWhatIsGone guards against the repair of a record that a node listed but no longer
// has when it is fetched: the empty response was once stored as an empty record, which
// damaged the storing node's index.
func TestMendingWhatIsGone(t *testing.T) {
	s := newTestSite(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	members := []Member{{"one", "127.0.0.1:1"}, {"two", l.Addr().String()}}
	one, two := s.node("one", members, nil), s.node("two", members, nil)
	go func() { _ = two.Serve(l) }()
	a := archive.Attempt{Job: "wk-000001", Task: 0, Try: 1, Machine: "m-0"}
	records := attemptRecords(a, grantOf(a, "office", "baker", 1), "hello")
	ctx := context.Background()
	if err := two.store(ctx, records); err != nil {
		t.Fatal(err)
	}
	if r, err := one.readRecord(ctx, records[2].Key, []string{"two"}); err != nil || r.Check() != nil {
		t.Fatalf("%v %v", r.Key, err)
	}
	// A record that a reader finds missing on a node is restored there.
	go one.repairAll()
	one.repairLater(map[string][]string{records[2].Key.String(): {"one"}})
	for until := time.Now().Add(30 * time.Second); one.Stats().Mended == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if !one.vault.Has(records[2].Key) {
		t.Error("the missing record was not restored")
	}
	for _, n := range []*Node{one, two} {
		if err := n.vault.Drop(ctx, []string{records[2].Key.String()}); err != nil {
			t.Fatal(err)
		}
	}
	if r, err := one.readRecord(ctx, records[2].Key, []string{"two"}); err == nil {
		t.Fatalf("read a record that no node has: %v", r)
	}
	one.repairLater(map[string][]string{records[2].Key.String(): {"one"}})
	if err := one.SyncOnce(ctx); err != nil {
		t.Fatal(err)
	}
	if got := one.Stats().Records; got != int64(len(records)-1) {
		t.Errorf("%d records are stored, want %d", got, len(records)-1)
	}
}

// FuzzRequests parses arbitrary queries of readers. What is accepted must be valid, and a customer
// must always search by its own label.
func FuzzRequests(f *testing.F) {
	f.Add(PathAttempts, "job=wk-000001&from=x")
	f.Add(PathStream, "attempt=wk-000001%2F00000000%2F00000001%2Fm&stream=stdout&from=9223372036854775807")
	f.Add(PathFile, "attempt=wk-000001%2F00000000%2F00000001%2Fm&path=..&chunk=-1")
	f.Fuzz(func(t *testing.T, _, query string) {
		q, err := url.ParseQuery(query)
		if err != nil {
			return
		}
		if a, stream, from, ok := parseStreamQuery(q); ok && (a.Check() != nil || stream == "" || from < 0) {
			t.Errorf("%q is accepted but names an invalid position in a stream", query)
		}
		if label, ok := searchLabel(identity.Identity{Kind: identity.Customer, Name: "office", Customer: "baker"}, q); ok && label != labelCustomer("office", "baker") {
			t.Errorf("%q makes a customer search by label %q", query, label)
		}
	})
}
