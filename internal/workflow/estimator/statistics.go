package estimator

import "math"

// Ended summarizes the tasks of a step that have ended.
type Ended struct {
	// Tasks counts the ended tasks whose run times were measured, Running those that began no later and have not ended.
	// The first tasks of a step to end are the shortest ones, which posterior takes into account.
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

// censored returns the mean of the logarithms of the run times of all tasks that have begun, given that those that ended
// are the shortest of them, and the number of tasks that such a mean is worth: the maximum likelihood estimate for a
// sample of a normal distribution that is censored from above, and its Fisher information.
func (e Ended) censored(taskSpread float64) (mean, tasks float64) {
	if e.Running <= 0 {
		return e.mean(), float64(e.Tasks)
	}
	fraction := float64(e.Tasks) / float64(e.Tasks+e.Running)
	quantile := math.Sqrt2 * math.Erfinv(2*fraction-1)
	density := math.Exp(-quantile*quantile/2) / math.Sqrt(2*math.Pi)
	hazard := density / (1 - fraction)
	return e.mean() + taskSpread*density/fraction, float64(e.Tasks) + float64(e.Running)*hazard*(hazard-quantile)
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
	slope := (s.steps*s.covariance + priorSteps*priorEstimateVariance) / (s.steps*s.varianceDeclared + priorSteps*priorEstimateVariance)
	slope = min(max(slope, 0), maxSlope)
	residual := s.varianceTook - 2*slope*s.covariance + slope*slope*s.varianceDeclared - s.taskVariance()*s.inverseTasks
	variance = (s.steps*max(residual, 0) + priorSteps*priorSpread*priorSpread) / (s.steps + priorSteps)
	// The clients' estimates are assumed to be off by a common factor of exp(priorSpread) as well.
	declaredWeight := variance / (priorSpread * priorSpread)
	known := s.steps / (s.steps + declaredWeight)
	if s.steps >= knownSteps {
		declared = clip(declared, s.meanDeclared)
	}
	fitted := s.meanTook + slope*(declared-s.meanDeclared)
	variance += variance / (s.steps + declaredWeight)
	return known*fitted + (1-known)*declared, max(variance, minSpread*minSpread)
}

// posterior returns the mean and variance of the logarithm of a step's run time given its estimate and its ended tasks.
func (s *statistics) posterior(declared float64, ended Ended) (mean, variance float64) {
	mean, variance = s.prior(declared)
	if ended.Tasks <= 0 {
		return mean, variance
	}
	taskVariance := s.taskVariance()
	measured, tasks := ended.censored(math.Sqrt(taskVariance))
	precision := tasks / taskVariance
	posteriorVariance := 1 / (1/variance + precision)
	return posteriorVariance * (mean/variance + precision*measured), posteriorVariance
}
