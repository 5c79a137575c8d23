package books

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/archive"
	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
	"tarragonridge.example/tarragonridge/internal/standin/service"
)

// Key prefixes of the rows that the audit reads.
const (
	accountPrefix = "account/"
	topUpPrefix   = "topup/"
)

const (
	pollInterval     = 200 * time.Millisecond
	readTimeout      = 5 * time.Second // per call to a stand-in
	maxResponseBytes = 64 << 20        // bytes of one response of a stand-in
	maxLineBytes     = 1 << 20         // bytes of one line of the answers file
)

// Sources says where the audit reads its input.
type Sources struct {
	Table       platform.Table
	Objects     archive.Objects // archived segments of the ledger
	Engines     []string        // base URLs
	Services    []string        // base URLs
	AnswersFile string          // file with one Answer per line; empty means none
}

// CheckUntilStable reads and checks the sources repeatedly, until no violation is
// left that may resolve by waiting, or until the timeout. It returns the data and
// the violations of the last check.
func CheckUntilStable(ctx context.Context, s Sources, timeout time.Duration) (*Data, []Violation, error) {
	deadline := time.Now().Add(timeout)
	for {
		data, err := Read(ctx, s)
		if err != nil {
			return nil, nil, err
		}
		violations := Check(data)
		if !anyMayResolve(violations) || !time.Now().Before(deadline) {
			return data, violations, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func anyMayResolve(violations []Violation) bool {
	for _, v := range violations {
		if v.MayResolve() {
			return true
		}
	}
	return false
}

// Read reads all sources once. The counts of the stand-ins are read before the
// records, because the record of a run is stored later than the run is counted.
// In the reverse order, a run that ends in between would be counted without a
// record.
func Read(ctx context.Context, s Sources) (*Data, error) {
	d := &Data{Accounts: map[string]budget.Account{}, TopUps: map[string]int64{}}
	for _, url := range s.Engines {
		if err := d.readRuns(ctx, url); err != nil {
			return nil, err
		}
	}
	for _, url := range s.Services {
		if err := d.readEffects(ctx, url); err != nil {
			return nil, err
		}
	}
	if err := d.readTable(ctx, s); err != nil {
		return nil, err
	}
	return d, d.readAnswers(s.AnswersFile)
}

// readRuns reads the runs that an engine has counted.
func (d *Data) readRuns(ctx context.Context, url string) error {
	after := int64(0)
	for {
		var page engine.RunList
		if err := getJSON(ctx, url+"/control/runs?after="+strconv.FormatInt(after, 10), &page); err != nil {
			return err
		}
		if page.Dropped > 0 {
			d.ReadViolations = append(d.ReadViolations, Violation{Kind: Incomplete, Detail: "engine " + url + " has dropped " + strconv.FormatInt(page.Dropped, 10) + " runs"})
		}
		if len(page.Runs) == 0 {
			return nil
		}
		d.Runs = append(d.Runs, page.Runs...)
		after = page.Runs[len(page.Runs)-1].Seq
	}
}

// readEffects reads the side effects that a service has counted.
func (d *Data) readEffects(ctx context.Context, url string) error {
	var effects service.Effects
	if err := getJSON(ctx, url+"/control/effects", &effects); err != nil {
		return err
	}
	if len(effects.List) != effects.Total {
		d.ReadViolations = append(d.ReadViolations, Violation{Kind: Incomplete, Detail: "service " + url + " lists " + strconv.Itoa(len(effects.List)) + " of " + strconv.Itoa(effects.Total) + " effects"})
	}
	d.Effects = append(d.Effects, effects.List...)
	return nil
}

// getJSON decodes the response to a GET request into out.
func getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "call stand-in")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s responded with status %s", url, resp.Status)
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out), url)
}

// readTable reads the accounts, the top-ups and the records. Accounts are read
// before records: each transaction writes both, so an account never has more
// settled tokens than the records that are read after it.
func (d *Data) readTable(ctx context.Context, s Sources) error {
	err := scanRows(ctx, s.Table, accountPrefix, d, func(key string, account budget.Account) {
		d.Accounts[key] = account
	})
	if err != nil {
		return err
	}
	type topUp struct {
		Team   string `json:"team"`
		Tokens int64  `json:"tokens"`
	}
	if err := scanRows(ctx, s.Table, topUpPrefix, d, func(_ string, t topUp) { d.TopUps[t.Team] += t.Tokens }); err != nil {
		return err
	}
	return d.readRecords(ctx, s)
}

// readRecords reads the records from the rows and the archived objects of the
// ledger.
func (d *Data) readRecords(ctx context.Context, s Sources) error {
	reader := archive.Reader{Table: s.Table, Objects: s.Objects, OnUnreadable: func(name string, err error) {
		d.ReadViolations = append(d.ReadViolations, Violation{Kind: UnreadableRow, Detail: name + ": " + err.Error()})
	}}
	for r, err := range reader.Records(ctx, ledger.Query{}) {
		if err != nil {
			return err
		}
		d.Records = append(d.Records, r)
	}
	return nil
}

// scanRows decodes all rows with the prefix. It calls use with each value and the
// row's key, from which the prefix has been removed. A row that cannot be decoded
// is reported as a violation.
func scanRows[T any](ctx context.Context, table platform.Table, prefix string, d *Data, use func(key string, value T)) error {
	rows, err := platform.ScanAll(ctx, table, prefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var value T
		if err := json.Unmarshal(row.Value, &value); err != nil {
			d.ReadViolations = append(d.ReadViolations, Violation{Kind: UnreadableRow, Detail: row.Key + ": " + err.Error()})
			continue
		}
		use(strings.TrimPrefix(row.Key, prefix), value)
	}
	return nil
}

// readAnswers reads the file of answers. An empty path means that there is none.
func (d *Data) readAnswers(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "answers")
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		var answer Answer
		if err := json.Unmarshal(scanner.Bytes(), &answer); err != nil {
			return eris.Wrapf(err, "%s:%d", path, n)
		}
		d.Answers = append(d.Answers, answer)
	}
	return eris.Wrap(scanner.Err(), path)
}
