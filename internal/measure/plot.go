package measure

import (
	"fmt"
	"html"
	"io"
	"math"
)

// Dimensions of a plot in pixels, and the bar colors.
const (
	plotWidth     = 760
	labelWidth    = 330
	barHeight     = 16
	barGap        = 6
	titleHeight   = 28
	valueWidth    = 90
	ownColor      = "#2b6cb0"
	baselineColor = "#a0aec0"
	missedColor   = "#c53030"
)

// WriteSVG draws the rows of one metric as horizontal bars. Bars of the system are
// blue, or red if the target is missed; baselines are gray.
func WriteSVG(w io.Writer, title string, rows []Row) error {
	height := titleHeight + len(rows)*(barHeight+barGap)
	if _, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, height); err != nil {
		return err
	}
	fmt.Fprintf(w, `<text x="0" y="16" font-weight="bold">%s</text>`+"\n", html.EscapeString(title))
	largest := largestValue(rows)
	for i, r := range rows {
		writeBar(w, r, titleHeight+i*(barHeight+barGap), largest)
	}
	_, err := fmt.Fprintln(w, "</svg>")
	return err
}

func largestValue(rows []Row) float64 {
	largest := math.SmallestNonzeroFloat64
	for _, r := range rows {
		largest = math.Max(largest, r.Value)
	}
	return largest
}

func writeBar(w io.Writer, r Row, y int, largest float64) {
	width := r.Value / largest * (plotWidth - labelWidth - valueWidth)
	label := fmt.Sprintf("%s, %s: %s", r.Deployment, r.Fault, r.Policy)
	fmt.Fprintf(w, `<text x="0" y="%d">%s</text>`+"\n", y+barHeight-4, html.EscapeString(label))
	fmt.Fprintf(w, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", labelWidth, y, math.Max(width, 1), barHeight, barColor(r))
	fmt.Fprintf(w, `<text x="%.1f" y="%d">%.4g %s</text>`+"\n", labelWidth+width+4, y+barHeight-4, r.Value, html.EscapeString(r.Unit))
}

func barColor(r Row) string {
	switch {
	case r.Policy != systemPolicyName:
		return baselineColor
	case r.Target != "" && !r.Pass:
		return missedColor
	}
	return ownColor
}

// systemPolicyName is the name of the system's policy in rows.
const systemPolicyName = "ragwortyard"
