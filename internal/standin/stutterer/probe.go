package stutterer

import (
	"fmt"
	"time"
)

// probe is a request to a node on a probe route, and how the node handled it.
type probe struct {
	prefix string
	// service is that of an upstream that ran the request, or empty if the node answered that there is no such route.
	service string
	sent    time.Time
	// required is the number of the version that the node has to follow, or 0.
	required int
	// shown is the number of the version that an earlier answer of the same process has shown, or 0.
	shown int
}

// allowedBy returns the numbers of the oldest version from the given number on and of the newest version that allow the probe's
// handling. Both are 0 if there is none, and the first is if all are older.
func (p probe) allowedBy(all []version, from int) (oldest, newest int) {
	for _, v := range all {
		if v.services[p.prefix] != p.service {
			continue
		}
		newest = v.number
		if oldest == 0 && v.number >= from {
			oldest = v.number
		}
	}
	return oldest, newest
}

// judge returns the rules that the handling of the probe breaks. All are the versions that were written until the answer.
func (p probe) judge(all []version) []violation {
	_, newest := p.allowedBy(all, 0)
	handled := "run by " + p.service
	if p.service == "" {
		handled = "refused"
	}
	var found []violation
	if newest == 0 {
		return []violation{{RuleUnconfiguredRun, fmt.Sprintf("%s %s as no version allows", p.prefix, handled)}}
	}
	if newest < p.required {
		found = append(found, violation{RuleConfigurationLate,
			fmt.Sprintf("%s %s as only r%d or older allows; r%d has to be in force", p.prefix, handled, newest, p.required)})
	}
	if newest < p.shown {
		found = append(found, violation{RuleConfigurationWentBack,
			fmt.Sprintf("%s %s as only r%d or older allows; the process has shown r%d", p.prefix, handled, newest, p.shown)})
	}
	return found
}
