package scale

import (
	"runtime"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/routing"
)

// measureConfig measures what a change of one route costs on its way from the operator to an ingress.
func (m *operationsMeter) measureConfig(by string, d Dataset, size int) {
	row := m.rows("configuration", by, size)
	old, text := d.Config(1), d.Config(2)
	row("text", "MB", float64(len(text))/1e6)
	row("of the longest frame", "parts", float64(len(text))/float64(message.MaxFrameSize))
	m.measureParse(row, text)
	m.measureDeltas(row, old, text)
}

// measureParse measures the check of a configuration, and its reading.
func (m *operationsMeter) measureParse(row rowReporter, text []byte) {
	validate := m.measure(func() {
		_, err := routing.Validate(text)
		m.check(err)
	})
	row("check at the control API", "ms", validate.milliseconds())
	before := liveHeap()
	var table *routing.Table
	parse := m.measure(func() {
		var err error
		table, err = routing.Parse(text)
		m.check(err)
	})
	row("read", "ms", parse.milliseconds())
	row("read: allocated meanwhile", "MB", parse.allocated/1e6)
	row("read: kept", "MB", (liveHeap()-before)/1e6)
	runtime.KeepAlive(table)
}

// measureDeltas measures how a configuration is encoded for others: over the one before, and in full.
func (m *operationsMeter) measureDeltas(row rowReporter, old, text []byte) {
	var change, full *message.Delta
	encodeChange := m.measure(func() { change = message.NewDelta(text, 1, old) })
	row("encode a change of one route", "ms", encodeChange.milliseconds())
	row("change of one route", "B", float64(encodedSize(&message.ReadResult{Config: change})))
	encodeFull := m.measure(func() { full = message.NewDelta(text, 0, nil) })
	row("encode in full", "ms", encodeFull.milliseconds())
	row("in full, encoded", "MB", float64(encodedSize(&message.ReadResult{Config: full}))/1e6)
	apply := m.measure(func() {
		_, err := change.Apply(1, old)
		m.check(err)
	})
	row("apply a change", "ms", apply.milliseconds())
	row("apply a change: allocated", "MB", apply.allocated/1e6)
	_, err := full.Apply(0, nil)
	row("can be sent in full", "1: yes", oneIf(err == nil))
}
