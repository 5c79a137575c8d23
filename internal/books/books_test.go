package books

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

// consistentData returns data without a violation: one completion of 30 tokens
// and one service call of 10 tokens, both answered, and one refusal.
func consistentData() *Data {
	completion := ledger.Record{
		Identity: ledger.Identity{Team: "alpha", Key: "k1"}, RunID: "run1", RequestID: "req1", Holder: "h1",
		Model: "m1", PromptTokens: 10, OutputTokens: 20, Reserved: 50, Charged: 30, Outcome: ledger.Complete, EndedUS: 1,
	}
	fee := ledger.Record{
		Identity: ledger.Identity{Team: "alpha", Key: "fee1"}, RunID: "run2", RequestID: "req2", Holder: "h1",
		Service: "desk", Reserved: 10, Charged: 10, Outcome: ledger.Complete, EndedUS: 2,
	}
	return &Data{
		Accounts: map[string]budget.Account{"alpha": {ToppedUp: 100, Grants: map[string]budget.Grant{"h1": {Seq: 1, Granted: 60, Settled: 40}}}},
		TopUps:   map[string]int64{"alpha": 100},
		Records:  []ledger.Record{completion, fee},
		Runs:     []engine.RunRecord{{Seq: 1, Team: "alpha", RunID: "run1", RequestID: "req1", PromptTokens: 10, OutputTokens: 20, Status: engine.RunFinished}},
		Effects:  []service.Effect{{Team: "alpha", Key: "fee1", RunID: "run2", RequestID: "req2"}},
		Answers: []Answer{
			{Team: "alpha", Key: "k1", RequestID: "req1", Complete: true},
			{Team: "alpha", Key: "fee1", RequestID: "req2", Complete: true},
			{Team: "alpha", Key: "k3", RequestID: "req3", Ran: "no"},
		},
	}
}

// editAccount changes the account of the team alpha.
func (d *Data) editAccount(edit func(a *budget.Account)) {
	a := d.Accounts["alpha"]
	edit(&a)
	d.Accounts["alpha"] = a
}

// addUnaccountedRun adds a run without a record, and a record that charges the
// rest of a dead holder's grant.
func (d *Data) addUnaccountedRun(consumed, charged int64) {
	d.Runs = append(d.Runs, engine.RunRecord{Seq: 2, Team: "alpha", RunID: "run9", RequestID: "req9", OutputTokens: consumed, Status: engine.RunAborted})
	id := ledger.UnaccountedPrefix + "h2"
	d.Records = append(d.Records, ledger.Record{
		Identity: ledger.Identity{Team: "alpha", Key: id}, RunID: id + "-alpha", RequestID: id, Holder: "h2",
		Reserved: charged, Charged: charged, Outcome: ledger.Lost, EndedUS: 3,
	})
	d.editAccount(func(a *budget.Account) { a.ClosedSettled = charged })
}

// Guards against an audit that overlooks a fault: each injected fault is
// reported with its kind, and consistent data has no violation.
func TestInjectedFaultsAreReported(t *testing.T) {
	cases := map[string]struct {
		inject func(d *Data)
		want   []Kind
	}{
		"none": {func(*Data) {}, nil},
		"overspend": {func(d *Data) {
			d.editAccount(func(a *budget.Account) { a.ToppedUp = 60 })
			d.TopUps["alpha"] = 60
			d.Runs[0].OutputTokens = 55
			d.Records[0].Reserved, d.Records[0].Charged = 65, 65
		}, []Kind{Overspend, SettledDiffers}},
		"negative left": {func(d *Data) {
			d.editAccount(func(a *budget.Account) { a.ToppedUp = 59 })
			d.TopUps["alpha"] = 59
		}, []Kind{BadAccount}},
		"unnamed run that is charged":   {func(d *Data) { d.addUnaccountedRun(25, 25) }, nil},
		"unnamed run beyond the charge": {func(d *Data) { d.addUnaccountedRun(26, 25) }, []Kind{LostBill}},
		"top-up counted twice": {func(d *Data) {
			d.editAccount(func(a *budget.Account) { a.ToppedUp = 200 })
		}, []Kind{BadTopUp}},
		"settled differs": {func(d *Data) {
			d.editAccount(func(a *budget.Account) { a.ClosedSettled = 1 })
		}, []Kind{SettledDiffers}},
		"run recorded twice": {func(d *Data) {
			d.Records = append(d.Records, d.Records[0])
			d.editAccount(func(a *budget.Account) { a.ClosedSettled = 30 })
		}, []Kind{DoubleBill}},
		"service call billed twice": {func(d *Data) {
			again := d.Records[1]
			again.RunID = "run9"
			d.Records = append(d.Records, again)
			d.editAccount(func(a *budget.Account) { a.ClosedSettled = 10 })
		}, []Kind{DoubleBill}},
		"lost bill": {func(d *Data) {
			d.Runs = append(d.Runs, engine.RunRecord{Team: "alpha", RunID: "run9", RequestID: "req9", Status: engine.RunFinished})
		}, []Kind{LostBill}},
		"too small a bill": {func(d *Data) { d.Runs[0].OutputTokens++ }, []Kind{Underbilled}},
		"record of another team": {func(d *Data) {
			d.Runs[0].Team = "beta"
			d.Accounts["beta"] = budget.Account{ToppedUp: 100}
			d.TopUps["beta"] = 100
		}, []Kind{BadRecord}},
		"bill without a run": {func(d *Data) { d.Runs = nil }, []Kind{BillWithoutRun}},
		"false not run":      {func(d *Data) { d.Answers[2].RequestID = "req1" }, []Kind{FalseNotRun}},
		"false not run of a service": {func(d *Data) {
			d.Answers = append(d.Answers, Answer{Team: "alpha", Key: "fee1", RequestID: "req2", Ran: "no"})
		}, []Kind{FalseNotRun}},
		"answer without a bill": {func(d *Data) {
			d.Answers = append(d.Answers, Answer{Team: "alpha", RequestID: "req9", Complete: true})
		}, []Kind{AnswerWithoutBill}},
		"side effect twice": {func(d *Data) { d.Effects = append(d.Effects, d.Effects[0]) }, []Kind{DoubleEffect}},
		"effect without a record": {func(d *Data) {
			d.Effects = append(d.Effects, service.Effect{Team: "alpha", Key: "fee9", RunID: "run9"})
		}, []Kind{LostBill}},
		"active run": {func(d *Data) { d.Runs[0].Status = engine.RunActive }, []Kind{StillActive}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := consistentData()
			c.inject(d)
			var got []Kind
			for _, v := range Check(d) {
				got = append(got, v.Kind)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against reporting a bill as lost whose record is about to be stored,
// and against overlooking rows or counts while reading.
func TestCheckWaitsForRecords(t *testing.T) {
	want := consistentData()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, r *http.Request) {
		list := engine.RunList{}
		if r.URL.Query().Get("after") == "0" {
			list.Runs = want.Runs
		}
		_ = json.NewEncoder(w).Encode(list)
	})
	mux.HandleFunc("GET /control/effects", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(service.Effects{Total: len(want.Effects), List: want.Effects})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	table := platform.NewMemoryTable()
	putRow(t, table, "account/alpha", want.Accounts["alpha"])
	putRow(t, table, "topup/alpha/t1", map[string]any{"team": "alpha", "tokens": 100})
	putRow(t, table, "ledger/h1/000000000001", ledger.Segment{Holder: "h1", Seq: 1, Records: want.Records[:1]})
	answers := filepath.Join(t.TempDir(), "answers.jsonl")
	assert.NilError(t, os.WriteFile(answers, []byte(`{"team":"alpha","key":"fee1","request_id":"req2","whole":true}`+"\n"), 0o600))
	sources := Sources{Table: table, Engines: []string{server.URL}, Services: []string{server.URL}, AnswersFile: answers}

	_, violations, err := CheckUntilStable(context.Background(), sources, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(violations), 3, "%v", violations)

	stored := make(chan struct{})
	go func() {
		defer close(stored)
		time.Sleep(pollInterval / 2)
		putRow(t, table, "ledger/h1/000000000002", ledger.Segment{Holder: "h1", Seq: 2, Records: want.Records[1:]})
	}()
	data, violations, err := CheckUntilStable(context.Background(), sources, 20*pollInterval)
	<-stored
	assert.NilError(t, err)
	assert.Equal(t, len(violations), 0, "%v", violations)
	assert.Equal(t, len(data.Records), 2)
}

// memoryObjects is an object store in memory.
type memoryObjects map[string][]byte

func (o memoryObjects) PutObject(_ context.Context, key string, data []byte) error {
	o[key] = data
	return nil
}

func (o memoryObjects) GetObject(_ context.Context, key string) ([]byte, error) {
	data, ok := o[key]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "object %s", key)
	}
	return data, nil
}

// Guards against an audit that ignores archived records, and against one that
// overlooks a missing archived object.
func TestAuditReadsTheArchive(t *testing.T) {
	want := consistentData()
	table, store := platform.NewMemoryTable(), memoryObjects{}
	putRow(t, table, "account/alpha", want.Accounts["alpha"])
	putRow(t, table, "topup/alpha/t1", map[string]any{"team": "alpha", "tokens": 100})
	for i := range want.Records {
		s := ledger.Segment{Holder: "h1", Seq: int64(i + 1), Records: want.Records[i : i+1]}
		putRow(t, table, s.Key(), s)
	}
	archiver := archive.New(archive.Options{Table: table, Objects: store, OwnHolder: func() (string, int64) { return "h1", 1 }})
	assert.NilError(t, archiver.ArchiveDue(t.Context()))
	assert.Equal(t, len(store), 1)
	kinds := func() (out []Kind) {
		data, err := Read(t.Context(), Sources{Table: table, Objects: store})
		assert.NilError(t, err)
		data.Runs, data.Effects, data.Answers = want.Runs, want.Effects, want.Answers
		for _, v := range Check(data) {
			out = append(out, v.Kind)
		}
		return out
	}
	assert.DeepEqual(t, kinds(), []Kind(nil))
	clear(store)
	assert.DeepEqual(t, kinds(), []Kind{AnswerWithoutBill, LostBill, SettledDiffers, UnreadableRow})
}

// putRow stores a value as a row.
func putRow(t *testing.T, table platform.Table, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.Check(t, err)
	result, err := table.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: data}}})
	assert.Check(t, err)
	assert.Check(t, result.Committed)
}
