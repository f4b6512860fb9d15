package exper

import (
	"fmt"
	"slices"
	"time"

	"verbenagate/lab/audit"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// Names of the measures of a stage.
const (
	ReplicaShare    = "replica_share"
	OracleShare     = "oracle_share"
	ShareOfOracle   = "replica_share_of_oracle"
	StaleReads      = "stale_reads"
	ReadsChecked    = "reads_checked"
	Roams           = "roams"
	Requests        = "requests_done"
	Interrupted     = "requests_interrupted"
	WriteGap        = "longest_write_gap_s"
	CrashTrials     = "crash_trials"
	FailoverMax     = "failover_gap_max_s"
	FailoverMedian  = "failover_gap_median_s"
	FreezeTrials    = "freeze_trials"
	FreezePromoted  = "freeze_promotions"
	SlotCapacity    = "slot_capacity_per_s"
	Goodput         = "peak_goodput_per_s"
	GoodputShare    = "peak_goodput_of_capacity"
	ShortQuiet      = "short_p99_quiet_ms"
	ShortPeak       = "short_p99_peak_ms"
	PeakRatio       = "short_p99_peak_over_quiet"
	ConnectionsOver = "connections_over_limit"
	ShortStraggler  = "short_p99_stragglers_ms"
	HeadOfLine      = "head_of_line_ratio"
	FirstComeQuiet  = "first_come_p99_quiet_ms"
	FirstComeBusy   = "first_come_p99_stragglers_ms"
	FirstComeRatio  = "first_come_head_of_line_ratio"
)

var measureNames = []string{
	ReplicaShare, OracleShare, ShareOfOracle, StaleReads, ReadsChecked, Roams, Requests, Interrupted, WriteGap, CrashTrials,
	FailoverMax, FailoverMedian, FreezeTrials, FreezePromoted, SlotCapacity, Goodput, GoodputShare, ShortQuiet, ShortPeak,
	PeakRatio, ConnectionsOver, ShortStraggler, HeadOfLine, FirstComeQuiet, FirstComeBusy, FirstComeRatio,
}

// MeasureNames returns the names of all measures in the order in which they are listed.
func MeasureNames() []string { return slices.Clone(measureNames) }

// Direction says whether lower or higher values of a measure are better.
type Direction uint8

// The directions.
const (
	// Neither is the direction of counts that only describe a run, and of measures for which all values within the bound are equally
	// good.
	Neither Direction = iota
	Lower
	Higher
)

var directions = map[string]Direction{
	ShareOfOracle: Higher, WriteGap: Lower, FailoverMax: Lower, FailoverMedian: Lower, Goodput: Higher, GoodputShare: Higher,
	ShortQuiet: Lower, ShortPeak: Lower, PeakRatio: Lower, ShortStraggler: Lower, HeadOfLine: Lower, Interrupted: Lower,
}

// Better returns the direction in which a measure improves.
func Better(measure string) Direction { return directions[measure] }

var auditNames = []string{audit.CheckPayments, audit.CheckTransfers, audit.CheckReads, audit.CheckLimits}

// Names of the phases that have measures.
const (
	phaseQuiet      = "quiet"
	phasePeak       = "peak"
	phaseStragglers = "stragglers"
)

// stageData is the data of a stage from which its measures are computed.
type stageData struct {
	stage              Stage
	records            []*load.Record
	counts             site.Counts
	serverUsage        []audit.ServerUsage
	trials             []Trial
	interruptedCallers int
	capacity           float64
	firstComeP99       map[string]float64
	// arrivalDuration is how long requests arrived. It is shorter than the load's duration if the trials ended the load early.
	arrivalDuration time.Duration
}

// measures returns all measures for which the stage has data.
func (m stageData) measures() map[string]float64 {
	out := map[string]float64{}
	m.addReadMeasures(out)
	m.addOutcomeMeasures(out)
	m.addFailoverMeasures(out)
	m.addPeakMeasures(out)
	m.addStragglerMeasures(out)
	for _, l := range m.serverUsage {
		over := float64(l.Connections - l.Allowed)
		if v, ok := out[ConnectionsOver]; !ok || over > v {
			out[ConnectionsOver] = over
		}
	}
	return out
}

func (m stageData) addReadMeasures(out map[string]float64) {
	var reads, eligible, stale, checked, roams int64
	for _, r := range m.records {
		s := r.Summary()
		reads += s.Oracle.Reads
		eligible += s.Oracle.Eligible
		stale += int64(len(s.Stale))
		checked += s.Checked
		roams += s.Roams
	}
	out[StaleReads], out[ReadsChecked], out[Roams] = float64(stale), float64(checked), float64(roams)
	served := m.counts.ReplicaReads + m.counts.PrimaryReads
	if served == 0 || eligible == 0 {
		return
	}
	out[ReplicaShare] = float64(m.counts.ReplicaReads) / float64(served)
	out[OracleShare] = float64(eligible) / float64(reads)
	out[ShareOfOracle] = out[ReplicaShare] / out[OracleShare]
}

func (m stageData) addOutcomeMeasures(out map[string]float64) {
	interrupted := int64(m.interruptedCallers)
	for _, r := range m.records {
		p := r.Progress()
		out[Requests] += float64(p.Done)
		interrupted += p.NotRun + p.Failed + p.Unknown
	}
	out[Interrupted] = float64(interrupted)
	if m.stage.Load.Pay > 0 {
		out[WriteGap] = m.records[0].LongestWriteGap(0, m.arrivalDuration).Seconds()
	}
}

func (m stageData) addFailoverMeasures(out map[string]float64) {
	var gaps []time.Duration
	for _, t := range m.trials {
		if t.Do == ActFreeze {
			out[FreezeTrials]++
			if t.Promoted {
				out[FreezePromoted]++
			} else {
				out[FreezePromoted] += 0
			}
			continue
		}
		out[CrashTrials]++
		if !t.Recovered {
			// A trial without a recovery must not count as a short gap.
			t.Gap = max(t.Gap, recoveryTimeout)
		}
		gaps = append(gaps, t.Gap)
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		out[FailoverMax] = gaps[len(gaps)-1].Seconds()
		out[FailoverMedian] = gaps[len(gaps)/2].Seconds()
	}
}

func (m stageData) phase(name string) (load.Phase, bool) {
	for _, p := range m.stage.Phases {
		if p.Name == name {
			return p, true
		}
	}
	return load.Phase{}, false
}

// shortP99 returns the p99 of short reads in a phase, in milliseconds.
func (m stageData) shortP99(phase string) (float64, bool) {
	if _, ok := m.phase(phase); !ok {
		return 0, false
	}
	h := load.NewHistogram()
	for _, r := range m.records {
		h.Merge(r.Histogram(phase, load.Read, load.Browse))
	}
	return p99Millis(h), h.TotalCount() > 0
}

func (m stageData) addPeakMeasures(out map[string]float64) {
	quiet, okQuiet := m.shortP99(phaseQuiet)
	if okQuiet {
		out[ShortQuiet] = quiet
	}
	if m.capacity > 0 {
		out[SlotCapacity] = m.capacity
	}
	p, ok := m.phase(phasePeak)
	if !ok {
		return
	}
	if peak, ok := m.shortP99(phasePeak); ok && okQuiet {
		out[ShortPeak], out[PeakRatio] = peak, peak/quiet
	}
	done := 0
	for _, r := range m.records {
		done += r.Completed(p.From, p.To)
	}
	out[Goodput] = float64(done) / (p.To - p.From).Seconds()
	if m.capacity > 0 {
		out[GoodputShare] = out[Goodput] / m.capacity
	}
}

func (m stageData) addStragglerMeasures(out map[string]float64) {
	quiet, okQuiet := m.shortP99(phaseQuiet)
	if busy, ok := m.shortP99(phaseStragglers); ok && okQuiet {
		out[ShortStraggler], out[HeadOfLine] = busy, busy/quiet
	}
	if q, s := m.firstComeP99[phaseQuiet], m.firstComeP99[phaseStragglers]; q > 0 && s > 0 {
		out[FirstComeQuiet], out[FirstComeBusy], out[FirstComeRatio] = q, s, s/q
	}
}

// Verdict is a bound with the measured value and whether the bound is met.
type Verdict struct {
	Bound
	Value float64 `json:"value"`
	// Known is false if the stage has no value for the measure. The bound is missed then.
	Known bool `json:"known"`
	OK    bool `json:"ok"`
}

func evaluateBounds(bounds []Bound, measures map[string]float64) []Verdict {
	var list []Verdict
	for _, b := range bounds {
		v := Verdict{Bound: b}
		v.Value, v.Known = measures[b.Measure]
		v.OK = v.Known && (b.Max == nil || v.Value <= *b.Max) && (b.Min == nil || v.Value >= *b.Min)
		list = append(list, v)
	}
	return list
}

// String returns the measure, its value and the bound.
func (v Verdict) String() string {
	limit := ""
	if v.Max != nil {
		limit = fmt.Sprintf("at most %g", *v.Max)
	} else if v.Min != nil {
		limit = fmt.Sprintf("at least %g", *v.Min)
	}
	if !v.Known {
		return fmt.Sprintf("%s was not measured, bound %s", v.Measure, limit)
	}
	return fmt.Sprintf("%s is %.4g, bound %s", v.Measure, v.Value, limit)
}
