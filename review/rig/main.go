// Command rig runs the scripts of the second review: it starts gateways of the project as separate processes
// on loopback addresses, plays their platform, servers and clients, and checks one rule. It exits with 1 if
// the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule was broken, and what was counted.
var cases = map[string]func(trouble bool) (broken bool, summary string){
	"quota": quotaCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		giveUp("usage: rig CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	openRecord(os.Args[2])
	note("case %s, trouble %v", os.Args[1], trouble)
	broken, summary := cases[os.Args[1]](trouble)
	verdict := "the rule held"
	if broken {
		verdict = "the rule was broken"
	}
	note("%s: %s", verdict, summary)
	fmt.Printf("%s: %s\n", verdict, summary)
	stopAll()
	if broken {
		os.Exit(1)
	}
}
