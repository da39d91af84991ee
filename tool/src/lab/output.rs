//! Prints results and comparisons, and writes report pages.

use crate::error::{file_error, CommandError, UnmetExpectation};
use std::path::Path;
use wellcrank_lab::metrics::{Figure, Results};
use wellcrank_lab::report;
use wellcrank_lab::stats::{self, Comparison, Interval};

/// The largest number of broken rules printed for one run.
const MAX_PRINTED_VIOLATIONS: usize = 10;
/// Variant names in column titles are cut to this number of characters.
const MAX_COLUMN_TITLE_CHARS: usize = 10;

/// Prints the figures, totals and resource use of one run.
pub(super) fn print_summary(results: &Results) {
    println!();
    for Figure { name, value } in results.figures() {
        println!("{name:>22}  {value:.4}");
    }
    let totals = &results.totals;
    println!(
        "{:>22}  {} requests: {} served, {} rejected, {} failed, {} unanswered, {} found no gateway",
        "in all",
        totals.requests,
        totals.succeeded,
        totals.rejected,
        totals.failed,
        totals.unanswered,
        totals.unreachable
    );
    println!(
        "{:>22}  {:.2} s of processor time in {:.0} s, {:.1} MB at most",
        "gateways used", results.gateway_cpu_seconds, results.wall_seconds, results.gateway_mb
    );
    if results.lateness.excessive {
        println!(
            "{:>22}  the laboratory itself ran late ({:.1} ms at p99): do not compare these figures",
            "late", results.lateness.p99_ms
        );
    }
}

/// Prints the figures of each variant and their differences from the first variant. Prints the means if there is only
/// one variant.
pub(super) fn print_comparisons(results: &[Results]) {
    let comparisons = stats::compare(results);
    if comparisons.is_empty() {
        print_means(results);
    }
    for comparison in &comparisons {
        print_comparison(comparison);
    }
}

/// Prints the mean of each figure over all runs, for results of a single variant.
fn print_means(results: &[Results]) {
    let names = stats::variants(results).join(", ");
    let Some(first) = results.first() else {
        return;
    };
    for (index, figure) in first.figures().iter().enumerate() {
        let values: Vec<f64> = results
            .iter()
            .map(|run| run.figures()[index].value)
            .collect();
        println!("{:>22}  {}  ({names})", figure.name, Interval::of(&values));
    }
}

fn print_comparison(comparison: &Comparison) {
    println!(
        "\n{}: {} against {}",
        comparison.engine, comparison.other, comparison.base
    );
    println!(
        "{:>22}  {:>10} {:>10}  difference, 95%",
        "",
        column_title(&comparison.base),
        column_title(&comparison.other)
    );
    for row in &comparison.rows {
        println!(
            "{:>22}  {:>10.4} {:>10.4}  {}",
            row.figure, row.base, row.other, row.difference
        );
    }
    if comparison.late > 0 {
        println!(
            "{} pairs were left out: the laboratory itself ran late",
            comparison.late
        );
    }
}

fn column_title(variant: &str) -> String {
    variant.chars().take(MAX_COLUMN_TITLE_CHARS).collect()
}

/// Prints broken rules and crashes, at most [`MAX_PRINTED_VIOLATIONS`] broken rules per run. Fails if there are any.
pub(super) fn check_rules(results: &[Results]) -> Result<(), UnmetExpectation> {
    let mut violations = 0;
    for run in results {
        for violation in run.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("{} seed {}: {violation}", run.variant, run.seed);
        }
        for crash in &run.crashes {
            println!("{} seed {}: {crash}", run.variant, run.seed);
        }
        violations += run.violation_count + run.crashes.len() as u64;
    }
    if violations > 0 {
        return Err(UnmetExpectation::Violations(violations));
    }
    Ok(())
}

/// Writes results as an HTML report.
pub(super) fn write_page(
    file: &Path,
    title: &str,
    about: &str,
    results: &[Results],
) -> Result<(), CommandError> {
    let page = report::page(title, about, results)?;
    std::fs::write(file, page).map_err(file_error(file, "cannot be written"))
}
