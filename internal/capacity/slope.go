package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a cost of a role, measured at several sizes.
type Slope struct {
	Role string
	// Cost says what was measured, and Unit in which unit.
	Cost string
	Unit string
	// SizeOf names what the size counts.
	SizeOf string
	Points []Point
	// PlannedSize is the planned size, in two years, to which the line is extrapolated.
	PlannedSize float64
}

// Fit returns the straight line through the points by least squares, weighted so that each
// point counts by its relative error. No cost falls with the size: where noise makes the points
// fall, the line is level at their weighted mean.
func (s Slope) Fit() (fixed, perUnit float64) {
	var w, wx, wy, wxx, wxy float64
	for _, p := range s.Points {
		weight := 1 / math.Max(p.Value*p.Value, 1e-12)
		w += weight
		wx += weight * p.Size
		wy += weight * p.Value
		wxx += weight * p.Size * p.Size
		wxy += weight * p.Size * p.Value
	}
	perUnit = math.Max(0, (w*wxy-wx*wy)/(w*wxx-wx*wx))
	fixed = (wy - perUnit*wx) / w
	return fixed, perUnit
}

// AtPlannedSize returns the value of the line at the planned size.
func (s Slope) AtPlannedSize() float64 {
	fixed, perUnit := s.Fit()
	return fixed + perUnit*s.PlannedSize
}

// MaxRelativeError returns the greatest relative distance of a point from the line.
func (s Slope) MaxRelativeError() float64 {
	fixed, perUnit := s.Fit()
	worst := 0.0
	for _, p := range s.Points {
		worst = math.Max(worst, math.Abs(fixed+perUnit*p.Size-p.Value)/math.Max(math.Abs(p.Value), 1e-12))
	}
	return worst
}

// WriteTable writes slopes as a Markdown table.
func WriteTable(out io.Writer, slopes []Slope) {
	fmt.Fprintln(out, "| Role | Cost | Unit | Size | Measured (size: value) | Fit | Off by | Target size | At target |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|--:|--:|--:|")
	for _, s := range slopes {
		points := make([]string, len(s.Points))
		for i, p := range s.Points {
			points[i] = fmt.Sprintf("%g: %s", p.Size, short(p.Value))
		}
		fixed, perUnit := s.Fit()
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s + %s n | %.0f %% | %g | %s |\n",
			s.Role, s.Cost, s.Unit, s.SizeOf, strings.Join(points, ", "),
			short(fixed), short(perUnit), 100*s.MaxRelativeError(), s.PlannedSize, short(s.AtPlannedSize()))
	}
}

// short prints a value with three significant digits.
func short(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
