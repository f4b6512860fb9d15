//go:build !race

package edge_test

// raceSlowdown is how much more processor time a statement may use with the race detector.
const raceSlowdown = 1
