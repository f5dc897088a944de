package stdout

// EventLinesLeftOut occurs when lines were left out in the past second. The numbers
// from 380 to 389 are this package's.
const EventLinesLeftOut = 380
