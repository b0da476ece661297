package soak

// Regression is a seed that once broke a promise, with the default fleet and
// length.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions are played by `ragwortyard soak --regressions`.
var Regressions = []Regression{
	{205, "an exit confirmed the withdrawal of an attempt that had run to its end; its answer was lost on a cut link"},
	{206, "the same, on a connection that had lost bytes before"},
}
