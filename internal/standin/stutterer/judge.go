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
	// RuleWrongResponse is broken by an answer that does not belong to the request, or is not whole.
	RuleWrongResponse Rule = "wrong-response"
	// RuleRunTwice is broken by a request that is not idempotent and runs more than once.
	RuleRunTwice Rule = "run-twice"
	// RuleUnrequested is broken by a run of a request that no caller sent in this form.
	RuleUnrequested Rule = "unrequested-run"
	// RuleFalseRefusal is broken by a request that is not idempotent and runs although its caller was promised otherwise.
	RuleFalseRefusal Rule = "false-refusal"
	// RuleRepeatedAtUpstream is broken by a request that runs more than once at one incarnation of an upstream. An observer who
	// keeps one response for each request and upstream may then see a success where the upstream answered a failure.
	RuleRepeatedAtUpstream Rule = "repeated-at-upstream"
	// RuleUnconfiguredRun is broken by a probe that is run by a service, or refused, as no version of the configuration allows.
	RuleUnconfiguredRun Rule = "unconfigured-run"
	// RuleConfigurationLate is broken by a probe that is handled as only a version allows that is older than the one that has to be
	// in force.
	RuleConfigurationLate Rule = "configuration-late"
	// RuleConfigurationWentBack is broken by a probe that is handled as only a version allows that is older than the one that an
	// earlier answer of the same process has shown.
	RuleConfigurationWentBack Rule = "configuration-went-back"
	// RuleRunAfterLeave is broken by a run at an upstream that has left, after the time for which calls may still reach it.
	RuleRunAfterLeave Rule = "run-after-leave"
	// RuleNodeEnded is broken by a node that ends by itself.
	RuleNodeEnded Rule = "node-ended"
)

// rules are all rules, in the order of the report.
var rules = []Rule{RuleWrongResponse, RuleRunTwice, RuleUnrequested, RuleFalseRefusal, RuleRepeatedAtUpstream, RuleUnconfiguredRun,
	RuleConfigurationLate, RuleConfigurationWentBack, RuleRunAfterLeave, RuleNodeEnded}

// violation is a rule that a request breaks.
type violation struct {
	rule   Rule
	detail string
}

// judge returns the rules that a request breaks.
func judge(h *history) []violation {
	var all []violation
	for _, text := range h.unrequested {
		all = append(all, violation{RuleUnrequested, text})
	}
	if !h.idempotent && len(h.runs) > 1 {
		all = append(all, violation{RuleRunTwice, fmt.Sprintf("%d runs", len(h.runs))})
	}
	for i, r := range h.runs {
		if slices.ContainsFunc(h.runs[:i], func(o *run) bool { return o.upstream == r.upstream }) {
			all = append(all, violation{RuleRepeatedAtUpstream, fmt.Sprintf("%s ran it again, with status %d", r.upstream, r.status)})
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
		return violation{RuleWrongResponse, "no answer: " + a.lost}
	case a.lost != "":
		return violation{}
	case a.seal == "" && a.success():
		return violation{RuleWrongResponse, "success without a seal"}
	case a.seal == "" && promisesNotRun(a.status) && !h.idempotent && len(h.runs) > 0:
		return violation{RuleFalseRefusal, fmt.Sprintf("answered %d", a.status)}
	case a.seal == "":
		return violation{}
	case at < 0:
		return violation{RuleWrongResponse, "seal of no run of the request"}
	case h.runs[at].status != a.status:
		return violation{RuleWrongResponse, fmt.Sprintf("status %d where the run answered %d", a.status, h.runs[at].status)}
	case !a.whole:
		return violation{RuleWrongResponse, "not the whole body of the run"}
	}
	return violation{}
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable}, status)
}
