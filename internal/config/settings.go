package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dunespoke/choice"
)

// wireSettings is the part of the settings object that the ingress uses. Durations are in milliseconds.
type wireSettings struct {
	Az      string `json:"az"`
	N       int    `json:"n_instances"`
	Me      *int   `json:"me"`
	Classes []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim"`
		GiveUp    float64 `json:"give_up"`
		Repeat    string  `json:"repeat"`
		Group     string  `json:"group"`
		Window    float64 `json:"window"`
		LateShare float64 `json:"late_share"`
		Worth     float64 `json:"worth"`
	} `json:"profiles"`
	Plans []struct {
		Name        string  `json:"name"`
		Refill      float64 `json:"refill"`
		MostAtOnce  float64 `json:"most_at_once"`
		Parallel    int     `json:"parallel"`
		CapRate     float64 `json:"cap_rate"`
		HardBurst   float64 `json:"hard_burst"`
		Slack       float64 `json:"ceiling_slack"`
		Price       float64 `json:"price"`
		BeyondEarns float64 `json:"beyond_earns"`
		ExcessCost  float64 `json:"excess_cost"`
	} `json:"tariffs"`
	Info struct {
		Counter    bool    `json:"counter"`
		CountLimit float64 `json:"count_limit"`
		UnitsTop   float64 `json:"units_top"`
	} `json:"family_info"`
	Limits struct {
		KeepAlive     float64 `json:"keepalive"`
		Cancelling    bool    `json:"cancelling"`
		DialTimeout   float64 `json:"dial_timeout"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after"`
	} `json:"limits"`
	Report struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"load_report"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Invariants struct {
		StartCapacity float64 `json:"start_capacity"`
		Cold          float64 `json:"cold"`
		FallMultiple  float64 `json:"fall_multiple"`
		Fall          float64 `json:"fall"`
	} `json:"invariants"`
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// DecodeSettings decodes the settings object that the simulator and the platform share. Unknown keys are
// ignored; a missing required key is an error.
func DecodeSettings(text []byte) (choice.Settings, error) {
	var keys map[string]json.RawMessage
	var wire wireSettings
	if err := json.Unmarshal(text, &keys); err != nil {
		return choice.Settings{}, err
	}
	required := []string{"az", "n_instances", "profiles", "tariffs", "family_info", "limits", "invariants"}
	for _, key := range required {
		if keys[key] == nil {
			return choice.Settings{}, fmt.Errorf("setting %s is missing", key)
		}
	}
	if err := json.Unmarshal(text, &wire); err != nil {
		return choice.Settings{}, err
	}
	s := choice.Settings{
		Zone: wire.Az, Gateways: wire.N, MaxUnits: wire.Info.UnitsTop,
		Counter: wire.Info.Counter, CounterTimeout: milliseconds(wire.Info.CountLimit),
		MaxAttempts: wire.Limits.MaxAttempts, DialTimeout: milliseconds(wire.Limits.DialTimeout),
		MaxRetryAfter: milliseconds(wire.Limits.MaxRetryAfter), Cancel: wire.Limits.Cancelling,
		CrossZoneCost: wire.Prices.CrossZone,
		ColdCapacity:  wire.Invariants.StartCapacity, ColdTime: milliseconds(wire.Invariants.Cold),
		FallMultiple: wire.Invariants.FallMultiple, FallTime: milliseconds(wire.Invariants.Fall),
		QueueField: -1,
	}
	if wire.Me != nil {
		s.Number = *wire.Me + 1
	}
	if wire.Report.Via == "inline" {
		s.QueueField = slices.Index(wire.Report.Fields, "backlog")
	}
	for _, c := range wire.Classes {
		repeat, repeatKnown := map[string]choice.Repeat{
			"free": choice.Safe, "guarded": choice.Keyed, "single_shot": choice.Unsafe}[c.Repeat]
		group, groupKnown := map[string]choice.Group{
			"": choice.GroupAll, "all": choice.GroupAll, "zone": choice.GroupZone, "cell": choice.GroupCell}[c.Group]
		if !repeatKnown {
			return s, fmt.Errorf("profiles: %s: unknown repeat value %.40q", c.Name, c.Repeat)
		}
		if !groupKnown {
			return s, fmt.Errorf("profiles: %s: unknown group value %.40q", c.Name, c.Group)
		}
		s.Classes = append(s.Classes, choice.Class{Name: c.Name, Repeat: repeat, Group: group,
			Window: milliseconds(c.Window), Aim: milliseconds(c.Aim), Deadline: milliseconds(c.GiveUp),
			Worth: c.Worth, LateShare: c.LateShare})
	}
	for _, p := range wire.Plans {
		s.Plans = append(s.Plans, choice.Plan{Name: p.Name, Rate: p.Refill, Burst: p.MostAtOnce, Open: p.Parallel,
			CeilingRate: p.CapRate, CeilingBurst: p.HardBurst, CeilingSlack: p.Slack,
			Price: p.Price, BeyondEarns: p.BeyondEarns, ExcessCost: p.ExcessCost})
	}
	return s, nil
}
