package simul

import (
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/check"
	"dandeliondoor/config"
	"dandeliondoor/costs"
)

// ReadLoad reads a load from a YAML file. All findings are returned together as a
// check.Findings error.
func ReadLoad(path string) (Load, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Load{}, errors.Wrap(err, "read load")
	}
	return ParseLoad(path, data)
}

// ParseLoad reads a load from YAML. The findings name the file.
func ParseLoad(file string, data []byte) (Load, error) {
	document, findings := check.DecodeWithDefaults(file, data, Defaults())
	if !document.Readable() {
		return Load{}, findings.Err()
	}
	checker := loadChecker{document: document, findings: findings}
	checker.check()
	return document.Value, checker.findings.Err()
}

// loadChecker collects the findings of a load.
type loadChecker struct {
	document *check.Document[Load]
	findings check.Findings
}

func (c *loadChecker) check() {
	load := c.document.Value
	c.positive(load.Servers, "servers")
	c.positive(load.Slots, "slots")
	c.positive(load.Daemons, "daemons")
	c.positive(load.Zones, "zones")
	c.longer(load.Length, "length")
	c.longer(load.Health.Period, "health", "period")
	c.longer(load.Retries.Window, "retries", "window")
	c.share(load.Health.UnhealthyShare, "health", "unhealthy_share")
	c.share(load.Health.HealthyFailures, "health", "healthy_failures")
	c.share(load.Health.UnhealthyFailures, "health", "unhealthy_failures")
	if load.Stop < 0 {
		c.add("stop must not be below 0", "stop")
	}
	if load.Retries.Ratio < 0 || load.Retries.Slack < 0 {
		c.add("ratio and slack must not be below 0", "retries")
	}
	if load.Placement != config.PlacementCost && load.Placement != config.PlacementLoad {
		c.add("placement is neither cost nor load", "placement")
	}
	if load.ServerQueue < 0 || load.SpeedSigma < 0 {
		c.add("queue and speed_sigma must not be below 0", "queue")
	}
	for _, s := range load.Slowdowns {
		if s.At < 0 || s.For <= 0 || s.Factor <= 0 || s.Share <= 0 || s.Share > 1 {
			c.add("each slowdown needs at, for and factor above 0, and a share of at most 1", "slowdowns")
		}
	}
	c.checkClasses(load.Classes)
	for _, p := range load.Pauses {
		if p.At < 0 || p.For <= 0 || p.RetryAfter <= 0 || p.Share <= 0 || p.Share > 1 {
			c.add("each pause needs at, for and retry_after above 0, and a share of at most 1", "pauses")
		}
	}
	for _, b := range load.Bursts {
		if b.At < 0 || b.For <= 0 || b.Factor <= 0 {
			c.add("each burst needs at, and for and factor above 0", "bursts")
		}
	}
}

func (c *loadChecker) checkClasses(classes []Class) {
	if len(classes) == 0 {
		c.add("classes are missing", "classes")
	}
	var names []string
	for _, class := range classes {
		switch {
		case class.Name == "":
			c.add("a class has no name", "classes")
		case slices.Contains(names, class.Name):
			c.add("class "+class.Name+" stands twice", "classes")
		case class.Rate <= 0 || class.Work <= 0 || class.Objective <= 0 || class.Deadline <= 0 || class.Attempts <= 0:
			c.add("class "+class.Name+" needs rate, work, objective, deadline and attempts above 0", "classes")
		}
		names = append(names, class.Name)
		if class.Sigma < 0 || class.TailShare < 0 || class.TailShare > 1 || class.TailFactor < 0 {
			c.add("class "+class.Name+" has a sigma, tail_share or tail_factor out of range", "classes")
		}
		c.checkPredictors(class)
	}
}

func (c *loadChecker) checkPredictors(class Class) {
	sum := 0.0
	for _, p := range class.Predictors {
		sum += p.Share
		known := slices.ContainsFunc(traitNames, func(name string) bool { return name == p.Trait })
		if !known || p.Values <= 0 || p.Share < 0 || sum > 1 {
			c.add("class "+class.Name+" has a predictor with an unknown trait, no values or too high a share", "classes")
		}
	}
}

// traitNames are the traits that the work of a request may depend on.
var traitNames = []string{
	costs.TraitAccount.String(), costs.TraitBody.String(), costs.TraitPath.String(), costs.TraitQuery.String(),
}

func (c *loadChecker) add(message string, keys ...string) {
	c.findings.Add(c.document.Position(keys...), "%s", message)
}

func (c *loadChecker) positive(value int, key string) {
	if value <= 0 {
		c.add(key+" is not above 0", key)
	}
}

func (c *loadChecker) longer(value time.Duration, keys ...string) {
	if value <= 0 {
		c.add(keys[len(keys)-1]+" is not above 0", keys...)
	}
}

func (c *loadChecker) share(value float64, keys ...string) {
	if value < 0 || value >= 1 {
		c.add(keys[len(keys)-1]+" is not between 0 and 1", keys...)
	}
}
