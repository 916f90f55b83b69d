package costs

import (
	"time"
)

const (
	// levelWays is the number of places that a level may be stored at.
	levelWays = 4
	// firstLevels is the size that a table begins with.
	firstLevels = 256
	// levelMemory bounds the weight of a level, in observations, so that it follows a
	// drift.
	levelMemory = 40
	// levelShrinkage is the weight, in observations, of the assumption that a level
	// has no effect.
	levelShrinkage = 4
)

// level is one value of a trait of a route: the mean of what it adds to the logarithm of
// the duration, its weight in observations, and the time of the last one.
type level struct {
	key    uint64
	seen   int64
	mean   float32
	weight float32
}

// effect returns the mean, shrunk towards 0.
func (l *level) effect() float64 {
	return float64(l.mean) * float64(l.weight) / (float64(l.weight) + levelShrinkage)
}

func (l *level) observe(now time.Time, value float64) {
	l.weight = min(l.weight+1, levelMemory)
	l.mean += (float32(value) - l.mean) / l.weight
	l.seen = now.Unix()
}

// levelTable holds a bounded number of levels. It grows until its limit and then drops
// the one that was seen least recently of those at the same place.
type levelTable struct {
	levels []level
	limit  int
	used   int
}

// find returns a level, or nil.
func (t *levelTable) find(key uint64) *level {
	if len(t.levels) == 0 {
		return nil
	}
	set := t.set(key)
	for i := range set {
		if set[i].key == key && set[i].weight > 0 {
			return &set[i]
		}
	}
	return nil
}

// put returns a level, which it creates if needed, or nil if the table has no room at all.
func (t *levelTable) put(now time.Time, key uint64) *level {
	if known := t.find(key); known != nil {
		return known
	}
	if t.limit < levelWays {
		return nil
	}
	const fullTenths = 7
	if t.used*10 >= len(t.levels)*fullTenths {
		t.grow()
	}
	set := t.set(key)
	oldest := &set[0]
	for i := range set {
		if set[i].weight == 0 {
			oldest = &set[i]
			t.used++
			break
		}
		if set[i].seen < oldest.seen || (set[i].seen == oldest.seen && set[i].weight < oldest.weight) {
			oldest = &set[i]
		}
	}
	*oldest = level{key: key, seen: now.Unix()}
	return oldest
}

func (t *levelTable) set(key uint64) []level {
	start := int(key%uint64(len(t.levels)/levelWays)) * levelWays
	return t.levels[start : start+levelWays]
}

func (t *levelTable) grow() {
	size := min(max(len(t.levels)*2, firstLevels), t.limit) / levelWays * levelWays
	if size <= len(t.levels) {
		return
	}
	old := t.levels
	t.levels, t.used = make([]level, size), 0
	for i := range old {
		if old[i].weight == 0 {
			continue
		}
		set := t.set(old[i].key)
		for j := range set {
			if set[j].weight == 0 {
				set[j] = old[i]
				t.used++
				break
			}
		}
	}
}
