package stutterer

import (
	"fmt"
	"net/http"
	"slices"
)

// rule is a rule of the users that a request may break.
type rule string

// Rules.
const (
	// ruleMixed is an answer that is not that of the request, or not whole.
	ruleMixed rule = "MIXED"
	// ruleTwice is a request that is not idempotent and ran more than once.
	ruleTwice rule = "TWICE"
	// ruleUnasked is a run of a request that no caller sent in this form.
	ruleUnasked rule = "UNASKED"
	// ruleRefused is a request that is not idempotent and ran although its caller was promised otherwise.
	ruleRefused rule = "REFUSED"
	// ruleRepeated is a request that ran more than once at one incarnation of an upstream. An observer that keeps one
	// response for each request and upstream then takes the answer of the other run for a mixed one.
	ruleRepeated rule = "REPEATED"
)

// violation is a rule that a request breaks.
type violation struct {
	rule   rule
	detail string
}

// judge returns the rules that a request breaks. The caller holds the ledger's lock.
func judge(h *history) []violation {
	var all []violation
	for _, o := range h.odd {
		all = append(all, violation{ruleUnasked, o})
	}
	if !h.idempotent && len(h.runs) > 1 {
		all = append(all, violation{ruleTwice, fmt.Sprintf("%d runs", len(h.runs))})
	}
	byUpstream := map[string][]int{}
	for _, r := range h.runs {
		byUpstream[r.upstream] = append(byUpstream[r.upstream], r.status)
	}
	for name, statuses := range byUpstream {
		if len(statuses) > 1 {
			all = append(all, violation{ruleRepeated, fmt.Sprintf("%s ran it with statuses %v", name, statuses)})
		}
	}
	if h.answer != nil {
		all = append(all, judgeAnswer(h, *h.answer)...)
	}
	return all
}

// judgeAnswer returns the rules that the answer to a request breaks.
func judgeAnswer(h *history, a answer) []violation {
	mixed := func(detail string) []violation { return []violation{{ruleMixed, detail}} }
	if a.malformed != "" {
		return mixed(a.malformed)
	}
	if a.lost {
		return nil
	}
	if a.seal == "" {
		if a.success() {
			return mixed("success without a seal")
		}
		if len(h.runs) > 0 && !h.idempotent && promisesNotRun(a.status) {
			return []violation{{ruleRefused, fmt.Sprintf("answered %d", a.status)}}
		}
		return nil
	}
	at := slices.IndexFunc(h.runs, func(r *run) bool { return r.seal == a.seal })
	switch {
	case at < 0:
		return mixed("seal of no run of the request")
	case h.runs[at].status != a.status:
		return mixed(fmt.Sprintf("status %d where the run answered %d", a.status, h.runs[at].status))
	case !a.whole:
		return mixed("not the whole body of the run")
	}
	return nil
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
