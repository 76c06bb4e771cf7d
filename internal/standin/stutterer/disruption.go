package stutterer

type disruption struct {
	vm   *vm
	kind int
}

func (d *disruption) run() {}
