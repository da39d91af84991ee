//! Places for the gateways of a fleet that must not do a thing all at one moment.

/// The place of the gateway of that number (from 0) in a whole: any row of gateways falls evenly over it, however many
/// there are, by steps of the golden ratio.
pub fn place(gateway: u32) -> f64 {
    const GOLDEN: f64 = 0.618_033_988_749_894_9;
    (f64::from(gateway) * GOLDEN).fract()
}
