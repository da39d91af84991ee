//! The charts of a report: counts over time, latency distributions, and the load of the servers.

use super::plots::{self, Axes, Line, Point};
use crate::error::LabError;
use crate::metrics::{Quantiles, Results, SecondMetrics, CURVE_STEPS_PER_NINE};
use crate::stats;

/// Smaller latencies are drawn as this: the axis is logarithmic and has no 0.
const MIN_DRAWN_MS: f64 = 0.001;

/// The quotient of two quantities of one second. They are kept apart so that both can be summed over runs.
struct Ratio {
    numerator: f64,
    denominator: f64,
}

impl Ratio {
    fn of(numerator: f64, denominator: f64) -> Ratio {
        Ratio {
            numerator,
            denominator,
        }
    }

    /// A count per second.
    fn per_second(count: u64) -> Ratio {
        Ratio::of(count as f64, 1.0)
    }
}

/// A chart of a ratio over the seconds of a run.
struct TimeChart {
    title: &'static str,
    unit: &'static str,
    ratio: fn(&SecondMetrics) -> Ratio,
}

const TIME_CHARTS: &[TimeChart] = &[
    TimeChart {
        title: "Billed value in time",
        unit: "share of what was requested inside quotas",
        ratio: |second| Ratio::of(second.value_in_time, second.requested_value),
    },
    TimeChart {
        title: "Requests",
        unit: "a second",
        ratio: |second| Ratio::per_second(second.requests),
    },
    TimeChart {
        title: "Rejected",
        unit: "share of requests",
        ratio: |second| Ratio::of(second.rejected as f64, second.requests as f64),
    },
    TimeChart {
        title: "Rejected with half of the quota unused",
        unit: "a second",
        ratio: |second| Ratio::per_second(second.rejected_with_half_quota),
    },
    TimeChart {
        title: "Forwarded beyond quotas",
        unit: "share of units",
        ratio: |second| Ratio::of(second.over_quota_units, second.forwarded_units),
    },
    TimeChart {
        title: "Counter calls",
        unit: "a second",
        ratio: |second| Ratio::per_second(second.counter_calls),
    },
    TimeChart {
        title: "New connections",
        unit: "an attempt",
        ratio: |second| Ratio::of(second.new_connections as f64, second.attempts as f64),
    },
    TimeChart {
        title: "Unanswered, failed or with no gateway",
        unit: "a second",
        ratio: |second| Ratio::per_second(second.all_failures()),
    },
];

/// A chart of a latency distribution.
struct LatencyChart {
    title: &'static str,
    quantiles: fn(&Results) -> &Quantiles,
}

const LATENCY_CHARTS: &[LatencyChart] = &[
    LatencyChart {
        title: "Served",
        quantiles: |run| &run.succeeded_ms,
    },
    LatencyChart {
        title: "Rejected",
        quantiles: |run| &run.rejected_ms,
    },
    LatencyChart {
        title: "To the first attempt",
        quantiles: |run| &run.first_attempt_ms,
    },
];

/// The runs of one variant.
struct VariantRuns<'a> {
    name: String,
    runs: Vec<&'a Results>,
}

/// Appends all charts of the runs of one engine to a page.
pub(super) fn append_charts(page: &mut String, results: &[Results]) -> Result<(), LabError> {
    let names = stats::variants(results).into_iter();
    let variants: Vec<VariantRuns> = names
        .map(|name| VariantRuns {
            runs: results.iter().filter(|run| run.variant == name).collect(),
            name,
        })
        .collect();
    page.push_str("<h3>Over time</h3><div class=\"plots\">");
    for chart in TIME_CHARTS {
        page.push_str(&draw_time_chart(chart, &variants)?);
    }
    page.push_str("</div><h3>Latency from the intended moment</h3><div class=\"plots\">");
    for chart in LATENCY_CHARTS {
        page.push_str(&draw_latency_chart(chart, &variants)?);
    }
    page.push_str("</div><h3>Load of the servers</h3><div class=\"plots\">");
    for variant in &variants {
        page.push_str(&draw_load_chart(variant)?);
    }
    page.push_str("</div>");
    Ok(())
}

fn draw_time_chart(chart: &TimeChart, variants: &[VariantRuns]) -> Result<String, LabError> {
    let axes = Axes {
        x_label: "seconds",
        y_label: chart.unit,
        y_from_zero: true,
    };
    let line = |variant: &VariantRuns| Line {
        name: variant.name.clone(),
        points: points_by_second(&variant.runs, chart.ratio),
    };
    let lines: Vec<Line> = variants.iter().map(line).collect();
    plots::draw_lines(chart.title, axes, &lines)
}

/// The ratio over all runs of a variant for each second. Seconds in which the denominator is 0 have no point.
fn points_by_second(runs: &[&Results], ratio: fn(&SecondMetrics) -> Ratio) -> Vec<Point> {
    let longest = runs.iter().map(|run| run.by_second.len()).max();
    let mut points = Vec::new();
    for second in 0..longest.unwrap_or(0) {
        let mut sum = Ratio::of(0.0, 0.0);
        for counts in runs.iter().filter_map(|run| run.by_second.get(second)) {
            let run_ratio = ratio(counts);
            sum.numerator += run_ratio.numerator;
            sum.denominator += run_ratio.denominator;
        }
        if sum.denominator > 0.0 {
            points.push(Point {
                x: second as f64,
                y: sum.numerator / sum.denominator,
            });
        }
    }
    points
}

fn draw_latency_chart(chart: &LatencyChart, variants: &[VariantRuns]) -> Result<String, LabError> {
    let axes = Axes {
        x_label: "nines of the quantile (1: p90, 2: p99)",
        y_label: "milliseconds, power of ten",
        y_from_zero: false,
    };
    let line = |variant: &VariantRuns| Line {
        name: variant.name.clone(),
        points: latency_points(&variant.runs, chart.quantiles),
    };
    let lines: Vec<Line> = variants.iter().map(line).collect();
    plots::draw_lines(chart.title, axes, &lines)
}

/// The mean latency over the runs of a variant at each quantile, as the logarithm to base 10 of milliseconds.
fn latency_points(runs: &[&Results], quantiles: fn(&Results) -> &Quantiles) -> Vec<Point> {
    let curves: Vec<_> = runs.iter().map(|run| &quantiles(run).curve).collect();
    let longest = curves.iter().map(|curve| curve.len()).max();
    let mut points = Vec::new();
    for step in 0..longest.unwrap_or(0) {
        let at_step = curves.iter().filter_map(|curve| curve.get(step));
        let latencies: Vec<f64> = at_step.map(|point| point.milliseconds).collect();
        points.push(Point {
            x: (step + 1) as f64 / CURVE_STEPS_PER_NINE as f64,
            y: stats::mean(&latencies).max(MIN_DRAWN_MS).log10(),
        });
    }
    points
}

fn draw_load_chart(variant: &VariantRuns) -> Result<String, LabError> {
    let title = format!("Busy share of cores: {}, first seed", variant.name);
    let axes = Axes {
        x_label: "seconds",
        y_label: "share",
        y_from_zero: true,
    };
    let lines = match variant.runs.first() {
        Some(run) => load_lines(run),
        None => Vec::new(),
    };
    plots::draw_lines(&title, axes, &lines)
}

/// The busy shares of the busiest, the median and the least busy server of each second.
fn load_lines(run: &Results) -> Vec<Line> {
    let mut busiest = Line::new("busiest");
    let mut middle = Line::new("middle");
    let mut least_busy = Line::new("least busy");
    let lengths = run.server_load.iter().map(|load| load.busy_share.len());
    for second in 0..lengths.max().unwrap_or(0) {
        let servers = run.server_load.iter();
        let at_second = servers.filter_map(|load| load.busy_share.get(second));
        let mut shares: Vec<f32> = at_second.copied().collect();
        shares.sort_by(f32::total_cmp);
        if let (Some(lowest), Some(highest)) = (shares.first(), shares.last()) {
            busiest.push(second as f64, f64::from(*highest));
            middle.push(second as f64, f64::from(shares[shares.len() / 2]));
            least_busy.push(second as f64, f64::from(*lowest));
        }
    }
    vec![busiest, middle, least_busy]
}
