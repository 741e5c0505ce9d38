package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dunespoke/internal/lab/rig"
)

type fleetCommand struct {
	File    string  `arg:"" help:"The scenario, TOML: see docs/operators/fleet-lab.md." type:"existingfile"`
	Seed    uint64  `help:"In place of the file's."`
	Out     string  `help:"Folder for logs, the object and plots; none: a temporary one, removed at the end."`
	JSON    bool    `help:"Print the object alone."`
	Cross   float64 `help:"Price of leaving a zone, for the file's; 0: spread evenly." default:"-1"`
	Alone   bool    `help:"Each ingress for itself: nothing is decided in common."`
	Program string  `help:"The program." default:"bin/dunespoke" env:"DUNESPOKE_LAB_PROGRAM"`
}

// errUnheld says that an expectation of a scenario did not hold, which the object tells.
var errUnheld = errors.New("an expectation did not hold")

// badFile is a scenario that can't be played.
type badFile struct{ error }

// Run plays the scenario. The last line of output is the object.
func (c *fleetCommand) Run(ctx context.Context) error {
	sc, err := rig.Read(c.File)
	if err != nil {
		return badFile{fmt.Errorf("%s: %w", c.File, err)}
	}
	if c.Seed != 0 {
		sc.Seed = c.Seed
	}
	if c.Alone {
		sc.Fleet.Voters = nil
	}
	if c.Cross >= 0 {
		sc.Load.CrossZone = c.Cross
	}
	dir := c.Out
	if dir == "" {
		if dir, err = os.MkdirTemp("", "dunespoke-lab-fleet"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err = os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return err
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	o := rig.Options{Program: program, Dir: dir}
	if !c.JSON {
		o.Progress = func(line string) { fmt.Println(line) }
	}
	r, err := rig.New(ctx, sc, o)
	if err != nil {
		return err
	}
	defer r.Close()
	res := r.Play()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	text, err := json.Marshal(res)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if c.Out != "" {
		if err := saveFleet(dir, res, text); err != nil {
			return err
		}
	}
	if !res.AllHeld() {
		return errUnheld
	}
	return nil
}

// saveFleet keeps the object, and plots service and traffic between zones by the second.
func saveFleet(dir string, res *rig.Result, text []byte) error {
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	g := newGraph(fmt.Sprintf("%s, seed %d", res.Scenario, res.Seed), "seconds", "part")
	served, cross := g.line("served in time"), g.line("to another zone")
	for i, s := range res.Seconds {
		if s.Asked > 0 {
			served.add(float64(i), s.Served/s.Asked)
		}
		if s.Attempts > 0 {
			cross.add(float64(i), s.Cross/s.Attempts)
		}
	}
	return g.save(filepath.Join(dir, "service.svg"))
}
