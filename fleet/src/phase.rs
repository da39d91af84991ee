//! Phases that spread the actions of a fleet's gateways over an interval, so that they don't act all at the same time.

/// The fractional part of the golden ratio. The fractional parts of its multiples are spread most evenly over the unit
/// interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Returns the phase in [0, 1) of the gateway with this index (from 0). The phases of any number of consecutive
/// gateways are spread evenly over the interval.
pub fn golden_ratio_phase(gateway: u32) -> f64 {
    (f64::from(gateway) * GOLDEN_RATIO_FRACTION).fract()
}
