package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/netcount"
)

func roomDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("tarragonridge_room_"+name, help, labels, nil)
}

// Metrics of the room of the host.
var (
	roomBytesDesc    = roomDesc("bytes_total", "Bytes of connections by peer (callers, targets or store) and direction (in or out).", "peer", "direction")
	roomLoadDesc     = roomDesc("load", "Load of a watched resource as a fraction of the load from which it is full.", "resource")
	roomLevelDesc    = roomDesc("level", "Level of a watched resource: 0 free, 1 busy, 2 full.", "resource")
	roomReadyDesc    = roomDesc("in_rotation", "1 if the host has room for new connections, else 0.")
	roomWaitingDesc  = roomDesc("waiting_requests", "Requests that wait for a place on the link.")
	roomRefusedDesc  = roomDesc("refused_requests_total", "Requests that were refused because a resource has no room for them in time.", "resource")
	roomCallDesc     = roomDesc("small_call_seconds", "How long small calls that depend on the network alone took lately. Up to date while the link is full.")
	roomReleasedDesc = roomDesc("released_connections_total", "Connections of callers that were let go after a whole answer.")
)

// Describe implements prometheus.Collector.
func (h *hostRoom) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{roomBytesDesc, roomLoadDesc, roomLevelDesc, roomReadyDesc, roomWaitingDesc, roomRefusedDesc, roomCallDesc, roomReleasedDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (h *hostRoom) Collect(ch chan<- prometheus.Metric) {
	for peer, counter := range map[string]*netcount.Counter{"callers": &h.callers, "targets": &h.targets, "store": h.store} {
		if counter != nil {
			ch <- prometheus.MustNewConstMetric(roomBytesDesc, prometheus.CounterValue, float64(counter.In()), peer, "in")
			ch <- prometheus.MustNewConstMetric(roomBytesDesc, prometheus.CounterValue, float64(counter.Out()), peer, "out")
		}
	}
	ready := 0.0
	if h.ready.Load() {
		ready = 1
	}
	ch <- prometheus.MustNewConstMetric(roomReadyDesc, prometheus.GaugeValue, ready)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.resources {
		ch <- prometheus.MustNewConstMetric(roomLoadDesc, prometheus.GaugeValue, h.host.Load(r), r.String())
		ch <- prometheus.MustNewConstMetric(roomLevelDesc, prometheus.GaugeValue, float64(h.host.LevelOf(r)), r.String())
	}
	for i, r := range refusalReasons {
		ch <- prometheus.MustNewConstMetric(roomRefusedDesc, prometheus.CounterValue, float64(h.refused[i]), r.String())
	}
	ch <- prometheus.MustNewConstMetric(roomWaitingDesc, prometheus.GaugeValue, float64(h.waiting.Len()))
	ch <- prometheus.MustNewConstMetric(roomCallDesc, prometheus.GaugeValue, h.host.CallDelay().Seconds())
	ch <- prometheus.MustNewConstMetric(roomReleasedDesc, prometheus.CounterValue, float64(h.released))
}
