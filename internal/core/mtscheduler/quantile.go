package mtscheduler

// quantile estimates a quantile of positive samples, of which recent ones count most.
type quantile struct {
	value float64
	// ratio is the ratio of the samples that are below the quantile.
	ratio float64
	// weight is by how much one sample changes the value, relative to it.
	weight float64
}

func (q *quantile) add(sample float64) {
	if sample < q.value {
		q.value = max(sample, q.value*(1-q.weight*(1-q.ratio)))
		return
	}
	q.value = min(sample, q.value*(1+q.weight*q.ratio))
}
