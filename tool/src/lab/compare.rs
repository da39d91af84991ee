//! `wellcrank lab compare`: compares the variants in stored results.

use super::common::read_all_results;
use super::output::{check_rules, print_comparisons};
use crate::error::{CommandError, UnmetExpectation};
use clap::Args;
use std::path::PathBuf;
use wellcrank_lab::stats::{self, Comparison};

/// The figure that `--max-net-drop` limits.
const NET_FIGURE: &str = "net";

/// Arguments of `lab compare`.
#[derive(Args)]
pub(crate) struct CompareArgs {
    /// Files or folders of results, which are compared as one set.
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// The largest accepted drop of the net figure from the first variant. Exits with code 1 if the whole 95%
    /// interval of a variant's drop is above it.
    #[arg(long, alias = "most-drop", allow_negative_numbers = true)]
    max_net_drop: Option<f64>,
}

pub(super) fn run(args: &CompareArgs) -> Result<(), CommandError> {
    let results = read_all_results(&args.results)?;
    print_comparisons(&results);
    check_rules(&results)?;
    if let Some(max_drop) = args.max_net_drop {
        for comparison in stats::compare(&results) {
            check_net_drop(&comparison, max_drop)?;
        }
    }
    Ok(())
}

/// Fails if the upper end of the interval of the net difference is below `-max_drop`, or if there is no net difference.
fn check_net_drop(comparison: &Comparison, max_drop: f64) -> Result<(), UnmetExpectation> {
    let mut rows = comparison.rows.iter();
    let Some(net) = rows.find(|row| row.figure == NET_FIGURE) else {
        return Err(UnmetExpectation::NothingToCompare {
            variant: comparison.other.clone(),
            base: comparison.base.clone(),
            late: comparison.late,
        });
    };
    let upper_end = net.difference.mean + net.difference.half_width.unwrap_or(0.0);
    if upper_end < -max_drop {
        return Err(UnmetExpectation::NetDrop {
            variant: comparison.other.clone(),
            base: comparison.base.clone(),
            difference: net.difference,
            max_drop,
        });
    }
    Ok(())
}
