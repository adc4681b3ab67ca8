package forward

import "sync"

// sizeWeight is the weight of a new request in the mean size of its route.
const sizeWeight = 0.02

// sizes keeps the mean size of the requests of each route; the zero value works.
type sizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// relative returns a size compared with the mean of the route, and counts it in.
func (s *sizes) relative(route string, size float64) float64 {
	if size <= 0 {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = map[string]float64{}
	}
	mean, known := s.means[route]
	if !known {
		mean = size
	}
	s.means[route] = mean + sizeWeight*(size-mean)
	return size / mean
}
