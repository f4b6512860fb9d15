package layout

// Weights returns the weights by which the workspaces share a server when there is too little room: in proportion to their limits of
// operations, which are a measure of what they usually send. A workspace without a limit has the weight of the greatest limit. Each
// step of a workspace's priority below the highest divides its weight: by two, by three and so on.
func (c Config) Weights() map[string]float64 {
	greatest := 0.0
	for _, w := range c.workspaces {
		greatest = max(greatest, w.rate)
	}
	if greatest == 0 {
		greatest = 1
	}
	weights := make(map[string]float64, len(c.workspaces))
	for name, w := range c.workspaces {
		weight := greatest
		if w.Limited() {
			weight = w.rate
		}
		weights[name] = weight / float64(1+max(w.priority, 0))
	}
	return weights
}
