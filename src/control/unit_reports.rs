//! Tracks which share of the units used at this gateway is reported to the counter, over all customers.

/// The factor by which both recent sums decay with each block.
const REPORT_DECAY: f64 = 0.95;

/// The maximum number of unreported units that are added for each unit of a block.
const MAX_UNREPORTED_RATIO: f64 = 10.0;

/// Recent sums of the units that were reported to the counter and of those that were used without being reported.
#[derive(Default)]
pub(super) struct UnitReports {
    reported: f64,
    unreported: f64,
}

impl UnitReports {
    /// Records units that were used without being reported.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.unreported += units;
    }

    /// Deducts units that were reported but not used from the unreported ones.
    pub(super) fn offset_unreported(&mut self, units: f64) {
        self.unreported = (self.unreported - units).max(0.0);
    }

    /// Records a block of `size` units that is about to be reported. Returns the number of unreported units to report
    /// together with it: none unless calls are scarce. Trade-off: these units are charged to the customer of the block,
    /// whichever customer used them.
    pub(super) fn report_block(&mut self, size: f64, has_spare_calls: bool) -> f64 {
        let ratio = (self.unreported / self.reported.max(1.0)).min(MAX_UNREPORTED_RATIO);
        let additional_units = if has_spare_calls {
            0.0
        } else {
            (size * ratio).round()
        };
        self.reported = self.reported * REPORT_DECAY + size;
        self.unreported *= REPORT_DECAY;
        additional_units
    }
}
