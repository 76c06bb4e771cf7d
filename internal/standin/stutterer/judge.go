package stutterer

import (
	"fmt"
	"net/http"
	"slices"
)

// Rule is a rule that a mesh may break.
type Rule string

// Rules.
const (
	// RuleMixed is broken by an answer that does not belong to the request, or is not whole.
	RuleMixed Rule = "MIXED"
	// RuleTwice is broken by a request that is not idempotent and runs more than once.
	RuleTwice Rule = "TWICE"
	// RuleUnasked is broken by a run of a request that no caller sent in this form.
	RuleUnasked Rule = "UNASKED"
	// RuleRefused is broken by a request that is not idempotent and runs although its caller was promised otherwise.
	RuleRefused Rule = "REFUSED"
	// RuleRepeated is broken by a request that runs more than once at one incarnation of an upstream. An observer who
	// keeps one response for each request and upstream may then see a success where the upstream answered a failure.
	RuleRepeated Rule = "REPEATED"
	// RuleEnded is broken by a node that ends by itself.
	RuleEnded Rule = "ENDED"
)

// violation is a rule that a request breaks.
type violation struct {
	rule   Rule
	detail string
}

// judge returns the rules that a request breaks.
func judge(h *history) []violation {
	var all []violation
	for _, text := range h.unasked {
		all = append(all, violation{RuleUnasked, text})
	}
	if !h.idempotent && len(h.runs) > 1 {
		all = append(all, violation{RuleTwice, fmt.Sprintf("%d runs", len(h.runs))})
	}
	for i, r := range h.runs {
		if slices.ContainsFunc(h.runs[:i], func(o *run) bool { return o.upstream == r.upstream }) {
			all = append(all, violation{RuleRepeated, fmt.Sprintf("%s ran it again, with status %d", r.upstream, r.status)})
		}
	}
	if h.answer == nil {
		return all
	}
	if v := judgeAnswer(h, h.answer); v.rule != "" {
		all = append(all, v)
	}
	return all
}

// judgeAnswer returns the rule that an answer breaks, or none.
func judgeAnswer(h *history, a *answer) violation {
	at := slices.IndexFunc(h.runs, func(r *run) bool { return r.seal == a.seal })
	switch {
	case a.malformed:
		return violation{RuleMixed, "no answer: " + a.lost}
	case a.lost != "":
		return violation{}
	case a.seal == "" && a.success():
		return violation{RuleMixed, "success without a seal"}
	case a.seal == "" && promisesNotRun(a.status) && !h.idempotent && len(h.runs) > 0:
		return violation{RuleRefused, fmt.Sprintf("answered %d", a.status)}
	case a.seal == "":
		return violation{}
	case at < 0:
		return violation{RuleMixed, "seal of no run of the request"}
	case h.runs[at].status != a.status:
		return violation{RuleMixed, fmt.Sprintf("status %d where the run answered %d", a.status, h.runs[at].status)}
	case !a.whole:
		return violation{RuleMixed, "not the whole body of the run"}
	}
	return violation{}
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable}, status)
}
