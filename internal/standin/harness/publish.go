package harness

import (
	"context"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// publishTimeout bounds a publish including the wait until it is in force on every node.
const publishTimeout = 10 * time.Second

// Publish publishes declarations and returns their version once it is in force on every node that answers.
func (m *Mesh) Publish(declarations []*schema.Declaration) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	accepted, err := m.Operator.Publish(ctx, declarations)
	if err != nil {
		return 0, err
	}
	_, _, err = m.Operator.Wait(ctx, accepted.Version)
	return accepted.Version, err
}
