package contention

import "math"

const (
	// maxRoomShare bounds the share of the accelerators, and of the workers, that is kept free.
	maxRoomShare = 0.6
	// unknownShare is the share that is kept free while the demand is unknown: that of the
	// fixed headroom.
	unknownShare = 0.4
	// costlyDeviations is the number of standard deviations above the mean use of urgent work
	// for which work that is costly to stop leaves room. 1 and 2.5 gave less value on the load
	// of the experiment's TestAdaptiveRoomPays.
	costlyDeviations = 1.5
	// cheapPart is the part of the use one standard deviation above the mean for which work
	// that is cheap to stop leaves room. Without any, more short gangs were late, because a
	// stop takes time.
	cheapPart = 0.5
	// minFreePart is the part of the target that stays free however much urgent work is
	// running: more of it can arrive before what runs has ended.
	minFreePart = 0.5
)

// Site is the capacity that units of a pool may use.
type Site struct {
	Total       Amount
	UrgentInUse Amount // used by, or reserved for, urgent work
}

// Room returns the capacity that a unit leaves free for urgent work. costly is set for
// work that would lose much if it were stopped.
func (d Demand) Room(s Site, costly bool) Amount {
	if !d.Known {
		return Amount{Accelerators: int(unknownShare * float64(s.Total.Accelerators))}
	}
	return Amount{
		Accelerators: d.Accelerators.room(s.Total.Accelerators, s.UrgentInUse.Accelerators, costly),
		Workers:      d.Workers.room(s.Total.Workers, s.UrgentInUse.Workers, costly),
	}
}

func (u Usage) room(total, inUse int, costly bool) int {
	wanted := u.Mean + costlyDeviations*u.Deviation
	if !costly {
		wanted = cheapPart * (u.Mean + u.Deviation)
	}
	left := max(wanted-float64(inUse), minFreePart*wanted)
	return int(math.Ceil(min(left, maxRoomShare*float64(total))))
}
