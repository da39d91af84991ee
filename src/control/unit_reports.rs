//! How many of the units that this gateway sends are reported to the counter, over all customers.

/// How much of what was reported and not reported to the counter stays after each block.
const REPORT_DECAY: f64 = 0.95;

/// A block stands for at most so many unreported units to each of its own.
const MAX_UNREPORTED_RATIO: f64 = 10.0;

/// Units of late that were reported to the counter, and that were sent without a report.
#[derive(Default)]
pub(super) struct UnitReports {
    reported: f64,
    unreported: f64,
}

impl UnitReports {
    /// Units were sent without a report.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.unreported += units;
    }

    /// Units that were reported and not used stand for unreported ones.
    pub(super) fn offset_unreported(&mut self, units: f64) {
        self.unreported = (self.unreported - units).max(0.0);
    }

    /// A block of `size` is reported; gives the units that are to be reported beside it. Where calls are scarce, a block
    /// also stands for what this gateway sent without a report. Trade-off: it is charged to this customer, whoever sent
    /// them.
    pub(super) fn report_block(&mut self, size: f64, has_spare_calls: bool) -> f64 {
        let ratio = (self.unreported / self.reported.max(1.0)).min(MAX_UNREPORTED_RATIO);
        let beside = if has_spare_calls {
            0.0
        } else {
            (size * ratio).round()
        };
        self.reported = self.reported * REPORT_DECAY + size;
        self.unreported *= REPORT_DECAY;
        beside
    }
}
