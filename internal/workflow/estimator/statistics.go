package estimator

import "math"

// Ended summarizes the tasks of a step that have ended.
type Ended struct {
	// Tasks counts the ended tasks whose run times were measured, Running those that have begun and not ended. The
	// first tasks of a step to end are the shortest ones, which posterior takes into account.
	Tasks, Running int
	// sum and squares are the sums of the logarithms of the run times and of their squared deviations from their mean.
	sum, squares float64
}

// mean returns the mean of the logarithms of the run times.
func (e Ended) mean() float64 { return e.sum / float64(e.Tasks) }

// with returns the summary with another logarithm.
func (e Ended) with(value float64) Ended {
	if e.Tasks > 0 {
		deviation := value - e.mean()
		e.squares += deviation * deviation * float64(e.Tasks) / float64(e.Tasks+1)
	}
	e.Tasks++
	e.sum += value
	return e
}

// correctedMean is the mean of the run times of all tasks that have begun, given that those that ended are the
// shortest, as for a sample of a normal distribution that is censored from above.
func (e Ended) correctedMean(taskSpread float64) float64 {
	if e.Running <= 0 {
		return e.mean()
	}
	fraction := float64(e.Tasks) / float64(e.Tasks+e.Running)
	quantile := math.Sqrt2 * math.Erfinv(2*fraction-1)
	density := math.Exp(-quantile*quantile/2) / math.Sqrt(2*math.Pi)
	return e.mean() + taskSpread*density/fraction
}

// statistics holds what is known of the steps of one key. Means and variances are moving ones over windowSteps; took and
// declared are logarithms, took the mean over the tasks of a step.
type statistics struct {
	// steps is the number of steps that count, at most windowSteps; tasks is the degrees of freedom of withinStep.
	steps, tasks float64
	// meanTook and meanDeclared are the means of the steps, inverseTasks that of 1/n, where n is the number of measured
	// tasks of a step.
	meanTook, meanDeclared, inverseTasks float64
	varianceTook, varianceDeclared       float64
	covariance                           float64
	// withinStep is the variance of the tasks of a step around its mean.
	withinStep float64
	// usedAt orders the keys by their last use.
	usedAt int64
}

// record learns from a finished step.
func (s *statistics) record(declared float64, ended Ended) {
	took := ended.mean()
	if s.steps >= knownSteps {
		took, declared = clip(took, s.meanTook), clip(declared, s.meanDeclared)
	}
	s.steps = min(s.steps+1, windowSteps)
	newest := 1 / s.steps
	deviationTook, deviationDeclared := took-s.meanTook, declared-s.meanDeclared
	s.meanTook += newest * deviationTook
	s.meanDeclared += newest * deviationDeclared
	s.varianceTook = (1 - newest) * (s.varianceTook + newest*deviationTook*deviationTook)
	s.varianceDeclared = (1 - newest) * (s.varianceDeclared + newest*deviationDeclared*deviationDeclared)
	s.covariance = (1 - newest) * (s.covariance + newest*deviationTook*deviationDeclared)
	s.inverseTasks += newest * (1/float64(ended.Tasks) - s.inverseTasks)
	if freedom := float64(ended.Tasks - 1); freedom > 0 {
		variance := min(ended.squares/freedom, maxDeviation*maxDeviation)
		s.tasks = min(s.tasks+freedom, windowSteps*10)
		s.withinStep += min(freedom/s.tasks, 1) * (variance - s.withinStep)
	}
}

// taskVariance returns the variance of the tasks of one step.
func (s *statistics) taskVariance() float64 {
	variance := (s.tasks*s.withinStep + priorSteps*priorTaskSpread*priorTaskSpread) / (s.tasks + priorSteps)
	return max(variance, minSpread*minSpread)
}

// prior returns the mean and variance of the logarithm of a step's run time given its estimate only.
func (s *statistics) prior(declared float64) (mean, variance float64) {
	known := s.steps / (s.steps + priorSteps)
	slope := (s.steps*s.covariance + priorSteps*priorEstimateVariance) / (s.steps*s.varianceDeclared + priorSteps*priorEstimateVariance)
	slope = min(max(slope, 0), maxSlope)
	if s.steps >= knownSteps {
		declared = clip(declared, s.meanDeclared)
	}
	fitted := s.meanTook + slope*(declared-s.meanDeclared)
	residual := s.varianceTook - 2*slope*s.covariance + slope*slope*s.varianceDeclared - s.taskVariance()*s.inverseTasks
	variance = known*max(residual, 0) + (1-known)*priorSpread*priorSpread
	return known*fitted + (1-known)*declared, max(variance, minSpread*minSpread)
}

// posterior returns the mean and variance of the logarithm of a step's run time given its estimate and its ended tasks.
func (s *statistics) posterior(declared float64, ended Ended) (mean, variance float64) {
	mean, variance = s.prior(declared)
	if ended.Tasks <= 0 {
		return mean, variance
	}
	taskVariance := s.taskVariance()
	precision := float64(ended.Tasks) / taskVariance
	posteriorVariance := 1 / (1/variance + precision)
	return posteriorVariance * (mean/variance + precision*ended.correctedMean(math.Sqrt(taskVariance))), posteriorVariance
}
