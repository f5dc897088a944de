package stdout

// EventLinesLeftOut occurs when lines were dropped in the past second. The numbers
// from 380 to 389 are reserved for this package.
const EventLinesLeftOut = 380
