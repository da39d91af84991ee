//! One self-contained page: figures, differences with intervals, plots, broken rules, and where the laboratory
//! itself ran late.

mod plots;

use crate::metrics::{Quantiles, Results, SecondMetrics};
use crate::stats;
use plots::Line;
use std::fmt::Write;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:1340px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.plots{display:flex;flex-wrap:wrap;gap:12px}.bad{color:#a00}\
svg{border:1px solid #eee}";

/// A plot of something by second: its title, what is up, and the share it draws.
type BySecond = (&'static str, &'static str, fn(&SecondMetrics) -> (f64, f64));

const OVER_TIME: &[BySecond] = &[
    (
        "Billed value in time",
        "share of what was asked inside quotas",
        |it| (it.value_in_time, it.requested_value),
    ),
    ("API calls", "a second", |it| (it.requests as f64, 1.0)),
    ("Rate-limited", "share of API calls", |it| {
        (it.rejected as f64, it.requests as f64)
    }),
    (
        "Rate-limited with half of the quota unused",
        "a second",
        |it| (it.rejected_with_half_quota as f64, 1.0),
    ),
    ("Sent beyond quotas", "share of units", |it| {
        (it.over_quota_units, it.forwarded_units)
    }),
    ("Counter calls", "a second", |it| {
        (it.counter_calls as f64, 1.0)
    }),
    ("New connections", "a try", |it| {
        (it.new_connections as f64, it.attempts as f64)
    }),
    ("Not answered, errored or nobody there", "a second", |it| {
        ((it.unanswered + it.failed + it.unreachable) as f64, 1.0)
    }),
];

/// Mean over the runs of a variant, second by second.
fn over_time(runs: &[&Results], pick: fn(&SecondMetrics) -> (f64, f64)) -> Vec<(f64, f64)> {
    let longest = runs.iter().map(|it| it.by_second.len()).max().unwrap_or(0);
    let point = |at: usize| {
        let parts = runs.iter().filter_map(|it| it.by_second.get(at)).map(pick);
        let (sum, of) = parts.fold((0.0, 0.0), |all, it| (all.0 + it.0, all.1 + it.1));
        (of > 0.0).then(|| (at as f64, sum / of))
    };
    (0..longest).filter_map(point).collect()
}

/// The busiest, the middle and the least busy server, by second.
fn server_load(runs: &[&Results]) -> Vec<Line> {
    let Some(run) = runs.first() else {
        return Vec::new();
    };
    let seconds = run
        .server_load
        .iter()
        .map(|load| load.busy_share.len())
        .max()
        .unwrap_or(0);
    let mut lines: Vec<Line> = ["busiest", "middle", "least busy"]
        .map(|name| Line {
            name: name.into(),
            points: Vec::new(),
        })
        .into();
    for at in 0..seconds {
        let mut loads: Vec<f32> = run
            .server_load
            .iter()
            .filter_map(|load| load.busy_share.get(at).copied())
            .collect();
        loads.sort_by(f32::total_cmp);
        if let (Some(low), Some(high)) = (loads.first(), loads.last()) {
            for (line, value) in lines.iter_mut().zip([*high, loads[loads.len() / 2], *low]) {
                line.points.push((at as f64, f64::from(value)));
            }
        }
    }
    lines
}

/// The page for the runs of one experiment.
pub fn page(title: &str, about: &str, results: &[Results]) -> Result<String, String> {
    let mut out = String::new();
    let say = |out: &mut String, text: &str| out.push_str(text);
    let title = escaped(title);
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1><p>{}</p>",
        escaped(about)
    );
    say(
        &mut out,
        "<p>App servers, counter, discovery and clients are simulated; on loopback the gateways are \
                   real processes, in simulated time they are their decisions alone.</p>",
    );
    let mut engines: Vec<&str> = results.iter().map(|it| it.engine.as_str()).collect();
    engines.sort_unstable();
    engines.dedup();
    for engine in engines {
        let of: Vec<Results> = results
            .iter()
            .filter(|it| it.engine == engine)
            .cloned()
            .collect();
        let _ = write!(out, "<h2>Engine: {}</h2>", escaped(engine));
        figures(&mut out, &of);
        differences(&mut out, &of);
        plots(&mut out, &of)?;
        troubles(&mut out, &of);
    }
    say(&mut out, "</html>\n");
    Ok(out)
}

fn figures(out: &mut String, results: &[Results]) {
    let names = stats::variants(results);
    out.push_str("<h3>Figures</h3><table><tr><th>mean over seeds</th>");
    for name in &names {
        let _ = write!(out, "<th>{}</th>", escaped(name));
    }
    out.push_str("</tr>");
    let rows = results.first().map(|it| it.figures()).unwrap_or_default();
    for (place, figure) in rows.iter().enumerate() {
        let _ = write!(out, "<tr><td>{}</td>", figure.name);
        for name in &names {
            let of = results.iter().filter(|it| it.variant == *name);
            let values: Vec<f64> = of.map(|it| it.figures()[place].value).collect();
            let _ = write!(
                out,
                "<td>{:.4}</td>",
                values.iter().sum::<f64>() / values.len().max(1) as f64
            );
        }
        out.push_str("</tr>");
    }
    out.push_str("</table>");
}

fn differences(out: &mut String, results: &[Results]) {
    for it in stats::compare(results) {
        let _ = write!(
            out,
            "<h3>{} against {}</h3><table><tr><th>figure</th><th>{}</th><th>{}</th><th>difference, 95%</th>\
             <th>pairs</th></tr>",
            escaped(&it.other),
            escaped(&it.base),
            escaped(&it.base),
            escaped(&it.other)
        );
        for row in &it.rows {
            let _ = write!(
                out,
                "<tr><td>{}</td><td>{:.4}</td><td>{:.4}</td><td>{}</td><td>{}</td></tr>",
                row.figure, row.base, row.other, row.difference, row.pairs
            );
        }
        out.push_str("</table>");
        if it.late > 0 {
            let _ = write!(
                out,
                "<p class=\"bad\">{} pairs left out: the laboratory ran late.</p>",
                it.late
            );
        }
    }
}

type Pick = fn(&Results) -> &Quantiles;

fn plots(out: &mut String, results: &[Results]) -> Result<(), String> {
    let names = stats::variants(results);
    let of = |name: &String| {
        results
            .iter()
            .filter(|it| it.variant == *name)
            .collect::<Vec<&Results>>()
    };
    out.push_str("<h3>Over time</h3><div class=\"plots\">");
    for (title, up, pick) in OVER_TIME {
        let lines: Vec<Line> = names
            .iter()
            .map(|name| Line {
                name: name.clone(),
                points: over_time(&of(name), *pick),
            })
            .collect();
        out.push_str(&plots::lines(title, "seconds", up, &lines, true)?);
    }
    out.push_str("</div><h3>Latency from the intended moment</h3><div class=\"plots\">");
    let quantiles: [(&str, Pick); 3] = [
        ("Proxied", |it| &it.succeeded_ms),
        ("Rate-limited", |it| &it.rejected_ms),
        ("To the first try", |it| &it.first_attempt_ms),
    ];
    for (title, pick) in quantiles {
        let mut lines = Vec::new();
        for name in &names {
            let runs = of(name);
            let longest = runs
                .iter()
                .map(|it| pick(it).curve.len())
                .max()
                .unwrap_or(0);
            let points = (0..longest).map(|at| {
                let parts: Vec<f64> = runs
                    .iter()
                    .filter_map(|it| Some(pick(it).curve.get(at)?.milliseconds))
                    .collect();
                // Nines of the quantile: 1 is p90, 2 is p99.
                (
                    (at + 1) as f64 / 15.0,
                    (parts.iter().sum::<f64>() / parts.len().max(1) as f64)
                        .max(0.001)
                        .log10(),
                )
            });
            lines.push(Line {
                name: name.clone(),
                points: points.collect(),
            });
        }
        let up = "milliseconds, power of ten";
        out.push_str(&plots::lines(
            title,
            "nines of the quantile (1: p90, 2: p99)",
            up,
            &lines,
            false,
        )?);
    }
    out.push_str("</div><h3>Load of app servers</h3><div class=\"plots\">");
    for name in &names {
        let title = format!("Busy share of cores: {name}, first seed");
        out.push_str(&plots::lines(
            &title,
            "seconds",
            "share",
            &server_load(&of(name)),
            true,
        )?);
    }
    out.push_str("</div>");
    Ok(())
}

fn troubles(out: &mut String, results: &[Results]) {
    out.push_str("<h3>Rules, crashes, lateness</h3><ul>");
    let mut clean = true;
    for it in results {
        let mut note = |text: String| {
            clean = false;
            let _ = write!(
                out,
                "<li class=\"bad\">{} seed {}: {}</li>",
                escaped(&it.variant),
                it.seed,
                escaped(&text)
            );
        };
        it.violations
            .iter()
            .take(20)
            .for_each(|broken| note(broken.to_string()));
        if it.violation_count > 20 {
            note(format!("{} broken rules in all", it.violation_count));
        }
        it.crashes.iter().for_each(|crash| note(crash.clone()));
        if it.misbehaving_clients.unanswered > 0 {
            note(format!(
                "{} of {} bad clients got neither error nor close",
                it.misbehaving_clients.unanswered, it.misbehaving_clients.total
            ));
        }
        if it.lateness.excessive {
            let (p99, worst) = (it.lateness.p99_ms, it.lateness.worst_ms);
            note(format!(
                "the laboratory ran late: {p99:.1} ms at p99, {worst:.0} ms at worst; not compared"
            ));
        }
    }
    if clean {
        out.push_str("<li>No rule broken, no crash, the laboratory in time.</li>");
    }
    out.push_str("</ul>");
}

#[cfg(test)]
mod tests;
