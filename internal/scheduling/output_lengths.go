package scheduling

const (
	// lengthBins is the number of bins in the distribution of answer lengths.
	lengthBins = 32
	// lengthDecay is the factor by which the weight of older answers shrinks
	// with each new one.
	lengthDecay = 0.98
)

// outputLengths is the distribution of the answer lengths of a class as
// fractions of the permitted length. Before the first answer, the full length
// is assumed.
type outputLengths struct {
	// bins[i] is the weight of lengths in (i/lengthBins, (i+1)/lengthBins].
	bins  [lengthBins]float64
	total float64
}

func newOutputLengths() *outputLengths {
	o := &outputLengths{total: 1}
	o.bins[lengthBins-1] = 1
	return o
}

// observe adds an answer's length.
func (o *outputLengths) observe(tokens, limit int) {
	if tokens <= 0 || limit <= 0 {
		return
	}
	bin := min((tokens*lengthBins-1)/limit, lengthBins-1)
	for i := range o.bins {
		o.bins[i] *= lengthDecay
	}
	o.total = o.total*lengthDecay + 1
	o.bins[bin]++
}

// mean returns the mean fraction of the permitted length.
func (o *outputLengths) mean() float64 {
	sum := 0.0
	for i, weight := range o.bins {
		sum += weight * (float64(i) + 1) / lengthBins
	}
	return sum / o.total
}

// longerThan returns the share of answers longer than a fraction of the
// permitted length.
func (o *outputLengths) longerThan(part float64) float64 {
	if part <= 0 {
		return 1
	}
	position := part * lengthBins
	first := int(position)
	if first >= lengthBins {
		return 0
	}
	sum := o.bins[first] * (1 - (position - float64(first)))
	for i := first + 1; i < lengthBins; i++ {
		sum += o.bins[i]
	}
	return sum / o.total
}

// endsWithin returns the probability that an answer that has reached a fraction
// of the permitted length ends before a later fraction.
func (o *outputLengths) endsWithin(reached, later float64) float64 {
	remaining := o.longerThan(reached)
	if remaining < 1e-6 {
		return 1
	}
	return 1 - o.longerThan(later)/remaining
}
