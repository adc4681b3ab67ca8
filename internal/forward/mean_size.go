package forward

import "sync"

// newSizeWeight is the weight of a new request in the moving average of its route.
const newSizeWeight = 0.02

// meanSizes holds the moving average of the request sizes of each route, in prompt tokens;
// the zero value is empty.
type meanSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// relative returns the size divided by the route's average of earlier requests, 1 for the first
// request, and updates the average. For sizes of 0 or less it returns 1 and leaves the average
// unchanged.
func (s *meanSizes) relative(route string, size float64) float64 {
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
	s.means[route] = mean + newSizeWeight*(size-mean)
	return size / mean
}
