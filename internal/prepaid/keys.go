package prepaid

import (
	"strconv"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// Keys of the rows: stripeN/total/TEAM and stripeN/holding/HOST/INCARNATION.
const (
	stripePart    = "stripe"
	totalPrefix   = "total/"
	holdingPrefix = "holding/"
)

func stripePrefix(stripe int) string { return stripePart + strconv.Itoa(stripe) + "/" }

// TotalKey returns the key of a stripe's row of a team's budget.
func TotalKey(stripe int, team string) string { return totalKey(stripe, teamName(team)) }

func totalKey(stripe int, team string) string { return stripePrefix(stripe) + totalPrefix + team }

// maxTeamBytes bounds the name of a team in the key of its total.
var maxTeamBytes = rowkey.MaxBytes - len(totalKey(budget.MaxStripes-1, ""))

// teamName returns the name of a team in rows, by which a Manager knows it.
func teamName(team string) string { return rowkey.Name(team, maxTeamBytes) }

// Bounds of the names in the keys of holdings.
const (
	maxHostBytes        = 100
	maxIncarnationBytes = 60
)

// HoldingKey returns the key of the holding of a process in a stripe.
func HoldingKey(stripe int, host, incarnation string) string {
	return hostHoldings(stripe, host) + rowkey.Name(incarnation, maxIncarnationBytes)
}

// hostHoldings returns the prefix of the keys of the holdings of a host's processes.
func hostHoldings(stripe int, host string) string {
	return stripePrefix(stripe) + holdingPrefix + rowkey.Name(host, maxHostBytes) + "/"
}

// parseTotalKey splits the key of a total. It reports false for any other key.
func parseTotalKey(key string) (stripe int, team string, ok bool) {
	rest, ok := strings.CutPrefix(key, stripePart)
	number, name, ok2 := strings.Cut(rest, "/")
	team, ok3 := strings.CutPrefix(name, totalPrefix)
	stripe, err := strconv.Atoi(number)
	if !ok || !ok2 || !ok3 || err != nil || stripe < 0 || stripe >= budget.MaxStripes {
		return 0, "", false
	}
	return stripe, team, true
}
