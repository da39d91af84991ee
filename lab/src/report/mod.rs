//! Renders results as one self-contained HTML page: figures, differences with confidence intervals, plots, broken
//! rules, and the runs in which the laboratory itself was too late.

mod charts;
mod plots;

use crate::error::LabError;
use crate::metrics::Results;
use crate::stats::{self, Comparison};
use std::fmt::Write;

/// Largest number of a run's broken rules that are listed; the page states how many there are in all.
const MAX_SHOWN_VIOLATIONS: usize = 20;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:1340px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.plots{display:flex;flex-wrap:wrap;gap:12px}.bad{color:#a00}\
svg{border:1px solid #eee}";

/// States which parts of a run are emulated.
const EMULATION_NOTE: &str =
    "<p>Servers, counter, discovery and clients are emulated; on loopback the gateways are \
     real processes, in simulated time only their decision logic runs.</p>";

/// Escapes text for HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Appends formatted text. Writing to a string cannot fail.
macro_rules! append {
    ($page:expr, $($text:tt)*) => {
        let _ = write!($page, $($text)*);
    };
}

/// Renders the page for the runs of one experiment; `about` is its description.
pub fn page(title: &str, about: &str, results: &[Results]) -> Result<String, LabError> {
    let mut page = String::new();
    append!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style>\
         <h1>{0}</h1><p>{1}</p>{EMULATION_NOTE}",
        escaped(title),
        escaped(about)
    );
    for engine in stats::engines(results) {
        let of_engine = results.iter().filter(|run| run.engine == engine);
        let runs: Vec<Results> = of_engine.cloned().collect();
        append!(page, "<h2>Engine: {}</h2>", escaped(engine));
        append_figures(&mut page, &runs);
        for comparison in stats::compare(&runs) {
            append_comparison(&mut page, &comparison);
        }
        charts::append_charts(&mut page, &runs)?;
        append_problems(&mut page, &runs);
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Appends a table of the mean figures: a row for each figure, a column for each variant.
fn append_figures(page: &mut String, results: &[Results]) {
    let variants = stats::variants(results);
    page.push_str("<h3>Figures</h3><table><tr><th>mean over seeds</th>");
    for variant in &variants {
        append!(page, "<th>{}</th>", escaped(variant));
    }
    page.push_str("</tr>");
    let figures = results.first().map(Results::figures).unwrap_or_default();
    for (index, figure) in figures.iter().enumerate() {
        append!(page, "<tr><td>{}</td>", figure.name);
        for variant in &variants {
            let runs = results.iter().filter(|run| run.variant == *variant);
            let values: Vec<f64> = runs.map(|run| run.figures()[index].value).collect();
            append!(page, "<td>{:.4}</td>", stats::mean(&values));
        }
        page.push_str("</tr>");
    }
    page.push_str("</table>");
}

/// Appends a table of the differences between two variants.
fn append_comparison(page: &mut String, comparison: &Comparison) {
    let base = escaped(&comparison.base);
    let other = escaped(&comparison.other);
    append!(
        page,
        "<h3>{other} against {base}</h3><table><tr><th>figure</th><th>{base}</th><th>{other}</th>\
         <th>difference, 95%</th><th>pairs</th></tr>"
    );
    for row in &comparison.rows {
        append!(
            page,
            "<tr><td>{}</td><td>{:.4}</td><td>{:.4}</td><td>{}</td><td>{}</td></tr>",
            row.figure,
            row.base,
            row.other,
            row.difference,
            row.pairs
        );
    }
    page.push_str("</table>");
    if comparison.late > 0 {
        append!(
            page,
            "<p class=\"bad\">{} pairs left out: the laboratory ran late.</p>",
            comparison.late
        );
    }
}

/// Appends a list of the problems of the runs.
fn append_problems(page: &mut String, results: &[Results]) {
    page.push_str("<h3>Rules, crashes, lateness</h3><ul>");
    let mut clean = true;
    for run in results {
        for problem in problems(run) {
            clean = false;
            append!(
                page,
                "<li class=\"bad\">{} seed {}: {}</li>",
                escaped(&run.variant),
                run.seed,
                escaped(&problem)
            );
        }
    }
    if clean {
        page.push_str("<li>No rule broken, no crash, the laboratory in time.</li>");
    }
    page.push_str("</ul>");
}

/// Describes the problems of a run: broken rules, crashes, misbehaving clients without an answer, excessive lateness.
fn problems(run: &Results) -> Vec<String> {
    let shown = run.violations.iter().take(MAX_SHOWN_VIOLATIONS);
    let mut problems: Vec<String> = shown.map(ToString::to_string).collect();
    if run.violation_count > MAX_SHOWN_VIOLATIONS as u64 {
        problems.push(format!("{} broken rules in all", run.violation_count));
    }
    problems.extend(run.crashes.iter().cloned());
    let misbehaving = run.misbehaving_clients;
    if misbehaving.unanswered > 0 {
        problems.push(format!(
            "{} of {} misbehaving clients got neither error nor close",
            misbehaving.unanswered, misbehaving.total
        ));
    }
    if run.lateness.excessive {
        problems.push(format!(
            "the laboratory ran late: {:.1} ms at p99, {:.0} ms at worst; not compared",
            run.lateness.p99_ms, run.lateness.worst_ms
        ));
    }
    problems
}

#[cfg(test)]
mod tests;
