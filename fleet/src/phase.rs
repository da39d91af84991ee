//! Phases for the gateways of a fleet that must not do a thing all at one moment.

/// The fractional part of the golden ratio: multiples of it fall most evenly over a unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The phase in [0, 1) of the gateway of that number (from 0): any row of gateways falls evenly over the interval,
/// however many there are.
pub fn golden_ratio_phase(gateway: u32) -> f64 {
    (f64::from(gateway) * GOLDEN_RATIO_FRACTION).fract()
}
