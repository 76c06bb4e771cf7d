package reducer

import "github.com/tamarackpitch/tamarackpitch/pkg/schema"

// DefaultPreset returns the preset that applies if the operator declares none. Classes are ordered by descending
// priority.
func DefaultPreset(classes []string) *schema.Preset {
	return &schema.Preset{
		Name:              "default",
		Classes:           classes,
		StepIntervalMs:    1000,
		WatchMs:           2000,
		MinCalls:          10,
		FirstShare:        0.04,
		FirstStepPart:     0.45,
		RetryBudget:       0.1,
		QueueLength:       96,
		RollbackThreshold: 5,
	}
}
