package forwarder

// set is a set of values. The zero value is empty.
type set[T comparable] map[T]struct{}

func (s *set[T]) add(v T) {
	if *s == nil {
		*s = set[T]{}
	}
	(*s)[v] = struct{}{}
}

func (s set[T]) remove(v T) { delete(s, v) }

func (s set[T]) has(v T) bool {
	_, ok := s[v]
	return ok
}
