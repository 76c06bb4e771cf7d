// The stand-ins of the review's scripts: the platform with its store and operator, backends and clients. It starts the
// nodes with the command of the deploy file and ends them by their process IDs.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseRun is one case. It reports whether the rule was broken, or an error if the case could not run.
type caseRun func(d *deployment, trouble bool) (broken bool, err error)

// cases holds the cases by name. The file of each adds its own.
var cases = map[string]caseRun{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(run caseRun, root, folder string) int {
	r, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case", "%s, with the disruption: %t", os.Args[1], trouble)
	d, err := newDeployment(root, temporary, r)
	if err != nil {
		r.log("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(d, trouble)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(115 * time.Second):
		o.err = fmt.Errorf("the case takes too long")
	}
	d.close()
	switch {
	case o.err != nil:
		r.log("case", "could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return exitNotRun
	case o.broken:
		r.log("case", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.log("case", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// Names of the deployment's services, hosts and prefixes.
const (
	serviceTracker   = "tracker"
	serviceOrderbook = "orderbook"
	serviceDrawvault = "drawvault"
	host             = "jepu9.example"
	pathStatus       = "/lepu270/"
	pathPlace        = "/xapu221/ny95/"
	pathDrawing      = "/fiti832/ti23/"
)

// Timeouts of the routes, which are those of the Sanchakam site.
const (
	timeoutStatus  = 2 * time.Second
	timeoutPlace   = 2500 * time.Millisecond
	timeoutDrawing = 2 * time.Second
)

type object = map[string]any

// writeConfig writes the first configuration.
func (d *deployment) writeConfig() {
	route := func(name, prefix, kind, service string, timeout time.Duration, priority int) object {
		return object{"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": kind, "TimeoutS": timeout.Seconds(),
			"TargetLatencyS": 0.6, "Priority": priority, "Service": service, "Attempts": 2}
	}
	service := func(name string) object {
		return object{"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
	}
	d.store.put("keyed.op", "config", object{"Version": "r4",
		"Routes": []object{
			route("r-status", pathStatus, "idempotent", serviceTracker, timeoutStatus, 2),
			route("r-place", pathPlace, "non_idempotent", serviceOrderbook, timeoutPlace, 1),
			route("r-drawing", pathDrawing, "download", serviceDrawvault, timeoutDrawing, 2)},
		"Services": []object{service(serviceTracker), service(serviceOrderbook), service(serviceDrawvault)},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}})
}

// zones of the deployment.
var zones = []string{"guj-west-a", "guj-west-b", "guj-west-c"}

// startAll writes the configuration, starts a node and a backend on every machine, and waits until calls can be served.
func (d *deployment) startAll(slots int) error {
	d.writeConfig()
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for i, m := range d.machines {
		if _, err := startBackend(m, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "v1", slots); err != nil {
			return err
		}
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return err
	}
	d.watchReadiness()
	// Membership and the first heartbeats spread; traffic starts 8 s after the machines on the users' sites.
	time.Sleep(4 * time.Second)
	return nil
}

// machinesWithSilent is the number of machines of the deployments in which a backend falls silent: one of them is a share
// of 0.143, below the limit of 0.15.
const machinesWithSilent = 7

// addMachines adds machines of a service, in the zones in turn.
func (d *deployment) addMachines(count int, service string) {
	for i := range count {
		zone := zones[i%len(zones)]
		d.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, 1+i/len(zones)), zone, service)
	}
}

// runsOf returns all runs of a request.
func (d *deployment) runsOf(id string) []run {
	var all []run
	for _, m := range d.machines {
		if m.backend != nil {
			all = append(all, m.backend.runsOf(id)...)
		}
	}
	return all
}
