//! `wellcrank lab`: what its sub-commands are, and what they print.

use crate::Short;
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use slog::Logger;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use wellcrank_lab::clock::Clock;
use wellcrank_lab::error::{ErrorChain, LabError};
use wellcrank_lab::experiment::{Engine, Experiment, Variant};
use wellcrank_lab::loopback::GatewayProgram;
use wellcrank_lab::metrics::{Figure, Results, SecondMetrics};
use wellcrank_lab::runs::{self, RunnerOptions};
use wellcrank_lab::{capacity, loopback, report, stats, validate};

#[derive(Subcommand)]
pub enum Lab {
    /// Starts a whole platform on loopback and shows each second what it does, until Ctrl-C.
    Up(Up),
    /// Plays an experiment: every variant on every seed.
    Run(Run),
    /// Compares the variants of results, paired by seed, with 95% intervals.
    Compare(Compare),
    /// Writes results as one self-contained HTML page with plots.
    Report(Report),
    /// Checks experiment files without playing them.
    Check { files: Vec<PathBuf> },
    /// Records what clients ask of a gateway, by standing before it.
    Record(Record),
    /// Plays experiments in both engines: does the model hold what loopback measures?
    Agree(Agree),
    /// Finds the rate that one gateway bears within a latency, over app servers that answer at once.
    Bears(Bears),
    /// Plays fleets of growing size in simulated time, and says what each costs to play.
    Grow(Grow),
}

#[derive(Clone, Copy, ValueEnum)]
enum EngineName {
    Simulated,
    Loopback,
}

impl From<EngineName> for Engine {
    fn from(name: EngineName) -> Engine {
        match name {
            EngineName::Simulated => Engine::Simulated,
            EngineName::Loopback => Engine::Loopback,
        }
    }
}

#[derive(Args)]
pub struct Up {
    /// An experiment whose first variant is played; else a usual day.
    file: Option<PathBuf>,
    /// Gateways, each a process.
    #[arg(long)]
    gateways: Option<usize>,
    /// App servers, simulated.
    #[arg(long)]
    servers: Option<usize>,
    /// API calls a second inside the quotas.
    #[arg(long)]
    calls: Option<f64>,
    /// Ends by itself after so long; a file's own length stands if this is not given.
    #[arg(long)]
    seconds: Option<f64>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Another edge node's program than the one built in.
    #[arg(long)]
    edge: Option<PathBuf>,
    /// A folder for the gateways' logs.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Writes what clients asked to this file, for replay.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Writes the report to this file.
    #[arg(long)]
    report: Option<PathBuf>,
}

#[derive(Args)]
pub struct Run {
    file: PathBuf,
    /// A folder for results.jsonl and report.html.
    #[arg(long)]
    out: Option<PathBuf>,
    #[arg(long, value_enum)]
    engine: Option<EngineName>,
    /// Seeds in place of the file's: 1,2,3.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Days played at a time; on loopback each takes about two cores.
    #[arg(long)]
    jobs: Option<usize>,
    /// On loopback, a day on which the laboratory itself ran late is played again, so many times at most.
    #[arg(long, default_value_t = 2)]
    again: usize,
    #[arg(long)]
    edge: Option<PathBuf>,
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Args)]
pub struct Compare {
    /// Files or folders of results; all are taken together.
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// Falls short where a variant's net figure is below the first one's by more than this, interval and all.
    #[arg(long, allow_negative_numbers = true)]
    most_drop: Option<f64>,
}

#[derive(Args)]
pub struct Report {
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// The page.
    #[arg(long, default_value = "report.html")]
    html: PathBuf,
}

#[derive(Args)]
pub struct Record {
    /// Where clients connect from now on.
    #[arg(long)]
    listen: SocketAddr,
    /// The gateway.
    #[arg(long)]
    to: SocketAddr,
    #[arg(long)]
    out: PathBuf,
    /// Ends by itself after so long.
    #[arg(long)]
    seconds: Option<f64>,
}

#[derive(Args)]
pub struct Agree {
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Seeds of the model, and of loopback.
    #[arg(long, default_value_t = 20)]
    model_seeds: usize,
    #[arg(long, default_value_t = 2)]
    seeds: usize,
    /// The figure that is compared.
    #[arg(long, default_value = "net")]
    figure: String,
    #[arg(long)]
    jobs: Option<usize>,
    #[arg(long)]
    edge: Option<PathBuf>,
    /// Falls short where fewer of the trials hold.
    #[arg(long, default_value_t = 0.9)]
    wanted: f64,
    /// Writes the trials here, one a line.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Args)]
pub struct Bears {
    #[arg(long, default_value_t = 5.0)]
    p99_ms: f64,
    /// Without a counter: what deciding and carrying alone cost.
    #[arg(long)]
    no_counter: bool,
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
    #[arg(long)]
    edge: Option<PathBuf>,
}

#[derive(Args)]
pub struct Grow {
    /// Numbers of gateways; app servers are two thirds of them.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300, 1000])]
    gateways: Vec<usize>,
    /// API calls a second at each gateway.
    #[arg(long, default_value_t = 10.0)]
    calls: f64,
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
}

pub fn run(what: Lab, log: &Logger) -> Result<(), Short> {
    match what {
        Lab::Up(it) => up(it, log),
        Lab::Run(it) => play(it, log),
        Lab::Compare(it) => compare(&it),
        Lab::Report(it) => page(&it, log),
        Lab::Check { files } => check(&files),
        Lab::Record(it) => tap(&it, log),
        Lab::Agree(it) => trials(&it),
        Lab::Bears(it) => load(&it),
        Lab::Grow(it) => grow(&it),
    }
}

fn read(path: &Path) -> Result<Experiment, Short> {
    Experiment::load(&path.to_string_lossy()).map_err(|error| LabError::from(error).into())
}

/// The edge node that is played: a program of its own, or the one built into this command.
fn edge(named: Option<PathBuf>) -> Result<GatewayProgram, Short> {
    if let Some(named) = named {
        if !named.is_file() {
            return Err(Short::Input(format!(
                "{}: no such program",
                named.display()
            )));
        }
        return Ok(GatewayProgram {
            path: named,
            ..GatewayProgram::default()
        });
    }
    let path = std::env::current_exe().map_err(|error| Short::Input(error.to_string()))?;
    Ok(GatewayProgram {
        path,
        arguments: vec!["edge".into()],
        ..GatewayProgram::default()
    })
}

fn beside(file: &Path) -> PathBuf {
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

/// What a day brought, in lines.
fn summary(it: &Results) {
    println!();
    for Figure { name, value } in it.figures() {
        println!("{name:>22}  {value:.4}");
    }
    let all = &it.totals;
    println!(
        "{:>22}  {} API calls: {} proxied, {} rate-limited, {} errored, {} unanswered, {} found nobody",
        "in all", all.requests, all.succeeded, all.rejected, all.failed, all.unanswered, all.unreachable
    );
    println!(
        "{:>22}  {:.2} s of processor time for {:.0} s, {:.1} MB at most",
        "gateways used", it.gateway_cpu_seconds, it.wall_seconds, it.gateway_mb
    );
    if it.lateness.excessive {
        println!(
            "{:>22}  the laboratory itself ran late ({:.1} ms at p99): these figures are not to be compared",
            "late", it.lateness.p99_ms
        );
    }
}

/// Broken rules and crashes are told, and make the command fall short.
fn verdict(results: &[Results]) -> Result<(), Short> {
    let mut wrongs = 0;
    for it in results {
        for broken in it.violations.iter().take(10) {
            println!("{} seed {}: {broken}", it.variant, it.seed);
        }
        for crash in &it.crashes {
            println!("{} seed {}: {crash}", it.variant, it.seed);
        }
        wrongs += it.violation_count + it.crashes.len() as u64;
    }
    match wrongs {
        0 => Ok(()),
        _ => Err(Short::Fell(format!("{wrongs} broken rules and crashes"))),
    }
}

fn up(it: Up, log: &Logger) -> Result<(), Short> {
    let mut experiment = match &it.file {
        Some(file) => read(file)?,
        None => {
            let text =
                "title = \"A usual day\"\nabout = \"What `wellcrank lab up` plays.\"\nseconds = 3600.0";
            Experiment::parse("the usual day", text).map_err(LabError::from)?
        }
    };
    let variant = experiment.variants_or_default().remove(0);
    experiment.fleet.gateways = it.gateways.unwrap_or(experiment.fleet.gateways);
    experiment.fleet.servers = it.servers.unwrap_or(experiment.fleet.servers);
    experiment.load.request_rate = it.calls.unwrap_or(experiment.load.request_rate);
    experiment.load.gateways_per_account = experiment
        .load
        .gateways_per_account
        .min(experiment.fleet.gateways);
    experiment.seconds = it.seconds.unwrap_or(experiment.seconds);
    if let Some(problem) = experiment.problems().first() {
        return Err(Short::Input(problem.to_string()));
    }
    let fleet = &experiment.fleet;
    slog::info!(log, "starting"; "gateways" => fleet.gateways, "app servers, simulated" => fleet.servers,
        "for" => experiment.seconds);
    println!("Ctrl-C ends the day and prints what it brought.\n");
    let head = format!(
        "{:>6} {:>7} {:>8} {:>8} {:>8} {:>9} {:>8} {:>9} {:>8}",
        "second", "asked", "proxied", "limited", "errored", "in time", "beyond", "counter", "tries"
    );
    let watch = |second: u64, it: &SecondMetrics| {
        if second.is_multiple_of(20) {
            println!("{head}");
        }
        let share = |part: f64, of: f64| if of > 0.0 { 100.0 * part / of } else { 0.0 };
        println!(
            "{second:>6} {:>7} {:>8} {:>8} {:>8} {:>8.1}% {:>7.1}% {:>9} {:>8}",
            it.requests,
            it.succeeded,
            it.rejected,
            it.failed + it.unanswered + it.unreachable,
            share(it.value_in_time, it.requested_value),
            share(it.over_quota_units, it.forwarded_units),
            it.counter_calls,
            it.attempts
        );
    };
    let beside = it.file.as_deref().map(beside).unwrap_or_default();
    let terms = loopback::RunOptions {
        gateway_program: edge(it.edge)?,
        replay: runs::load_replay(&experiment, it.seed, &beside)?,
        record_to: it.record,
        log_dir: it.logs,
        on_second: Some(Box::new(watch)),
    };
    let results = loopback::play(&experiment, &variant, it.seed, terms)?;
    summary(&results);
    if let Some(file) = it.report {
        write_page(
            &file,
            &experiment.title,
            &experiment.about,
            std::slice::from_ref(&results),
        )?;
        slog::info!(log, "report written"; "file" => %file.display());
    }
    verdict(&[results])
}

fn bar(length: usize) -> ProgressBar {
    // Hidden by itself where standard error is no terminal.
    let bar = ProgressBar::new(length as u64);
    let style = ProgressStyle::with_template(
        "{bar:30} {pos}/{len} days, {elapsed} gone, {eta} to go {msg}",
    );
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn jobs(asked: Option<usize>, engine: Engine) -> usize {
    let cores = std::thread::available_parallelism().map_or(2, |cores| cores.get());
    // Loopback keeps a core for the stand-ins and one for the gateways.
    asked.unwrap_or(if engine == Engine::Loopback {
        (cores / 3).max(1)
    } else {
        cores
    })
}

fn play(it: Run, log: &Logger) -> Result<(), Short> {
    let experiment = read(&it.file)?;
    let engine = it.engine.map_or(experiment.engine, Engine::from);
    let ways = RunnerOptions {
        engine: Some(engine),
        seeds: (!it.seeds.is_empty()).then_some(it.seeds),
        jobs: jobs(it.jobs, engine),
        gateway_program: edge(it.edge)?,
        log_dir: it.logs,
        max_reruns: it.again,
        base_dir: beside(&it.file),
    };
    let count = experiment.variants_or_default().len()
        * ways.seeds.as_ref().map_or(experiment.seeds.len(), Vec::len);
    let bar = bar(count);
    let told = |_: &Result<Results, LabError>| bar.inc(1);
    let results = runs::play_all(&experiment, &ways, &told)?;
    bar.finish_and_clear();
    println!(
        "{} ({})",
        experiment.title,
        if engine == Engine::Loopback {
            "loopback"
        } else {
            "simulated time"
        }
    );
    match results.as_slice() {
        [one] => summary(one),
        many => table(many),
    }
    if let Some(out) = it.out {
        runs::write_results(&out.join("results.jsonl"), &results)?;
        let page = out.join("report.html");
        write_page(&page, &experiment.title, &experiment.about, &results)?;
        slog::info!(log, "written"; "folder" => %out.display());
    }
    verdict(&results)
}

/// Each figure by variant, and the differences from the first.
fn table(results: &[Results]) {
    let comparisons = stats::compare(results);
    if comparisons.is_empty() {
        let names = stats::variants(results);
        let rows = results[0].figures();
        for (place, figure) in rows.iter().enumerate() {
            let values: Vec<f64> = results.iter().map(|it| it.figures()[place].value).collect();
            println!(
                "{:>22}  {}  ({})",
                figure.name,
                stats::Interval::of(&values),
                names.join(", ")
            );
        }
    }
    for it in comparisons {
        println!("\n{}: {} against {}", it.engine, it.other, it.base);
        println!(
            "{:>22}  {:>10} {:>10}  difference, 95%",
            "",
            cut(&it.base),
            cut(&it.other)
        );
        for row in &it.rows {
            println!(
                "{:>22}  {:>10.4} {:>10.4}  {}",
                row.figure, row.base, row.other, row.difference
            );
        }
        if it.late > 0 {
            println!(
                "{} pairs were left out: the laboratory itself ran late",
                it.late
            );
        }
    }
}

fn cut(name: &str) -> String {
    name.chars().take(10).collect()
}

fn gathered(paths: &[PathBuf]) -> Result<Vec<Results>, Short> {
    let mut all = Vec::new();
    for path in paths {
        all.extend(runs::read_results(path)?);
    }
    Ok(all)
}

fn compare(it: &Compare) -> Result<(), Short> {
    let results = gathered(&it.results)?;
    table(&results);
    verdict(&results)?;
    let Some(most) = it.most_drop else {
        return Ok(());
    };
    for found in stats::compare(&results) {
        let net = found.rows.iter().find(|row| row.figure == "net");
        let Some(net) = net else {
            return Err(Short::Fell("nothing is left to compare".into()));
        };
        let best = net.difference.mean + net.difference.half_width.unwrap_or(0.0);
        if best < -most {
            let why = format!(
                "{}: net {} against {}",
                found.other, net.difference, found.base
            );
            return Err(Short::Fell(why));
        }
    }
    Ok(())
}

fn write_page(file: &Path, title: &str, about: &str, results: &[Results]) -> Result<(), Short> {
    let page = report::page(title, about, results)?;
    std::fs::write(file, page).map_err(|error| Short::Input(format!("{}: {error}", file.display())))
}

fn page(it: &Report, log: &Logger) -> Result<(), Short> {
    let results = gathered(&it.results)?;
    let title = results[0].experiment.clone();
    write_page(&it.html, &title, "", &results)?;
    slog::info!(log, "report written"; "file" => %it.html.display());
    Ok(())
}

fn check(files: &[PathBuf]) -> Result<(), Short> {
    let mut wrong = Vec::new();
    for file in files {
        match Experiment::load(&file.to_string_lossy()) {
            Ok(it) => {
                let replay = runs::load_replay(&it, 1, &beside(file));
                match replay {
                    Ok(_) => println!(
                        "{}: {} variants, {} seeds",
                        file.display(),
                        it.variants_or_default().len(),
                        it.seeds.len()
                    ),
                    Err(why) => wrong.push(ErrorChain(&why).to_string()),
                }
            }
            Err(error) => wrong.push(ErrorChain(&error).to_string()),
        }
    }
    match wrong.is_empty() {
        true => Ok(()),
        false => Err(Short::Input(wrong.join("\n"))),
    }
}

fn tap(it: &Record, log: &Logger) -> Result<(), Short> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        let set = signal_hook::flag::register(signal, stop.clone());
        set.map_err(|error| Short::Input(error.to_string()))?;
    }
    slog::info!(log, "recording until Ctrl-C"; "listen" => %it.listen, "to" => %it.to);
    let most = it
        .seconds
        .map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 1e9)));
    loopback::record_traffic(it.listen, it.to, &it.out, most, &stop)?;
    slog::info!(log, "recorded"; "file" => %it.out.display());
    Ok(())
}

fn trials(it: &Agree) -> Result<(), Short> {
    let mut all = Vec::new();
    let edge = edge(it.edge.clone())?;
    for file in &it.files {
        let experiment = read(file)?;
        if experiment.variants_or_default().len() < 2 {
            return Err(Short::Input(format!(
                "{}: expected two variants or more",
                file.display()
            )));
        }
        let ways = RunnerOptions {
            jobs: jobs(it.jobs, Engine::Loopback),
            gateway_program: edge.clone(),
            max_reruns: 2,
            base_dir: beside(file),
            ..RunnerOptions::default()
        };
        let bar = bar(experiment.variants_or_default().len() * (it.model_seeds + it.seeds));
        let told = |_: &Result<Results, LabError>| bar.inc(1);
        all.extend(validate::trials(
            &experiment,
            &ways,
            validate::SeedCounts {
                model: it.model_seeds,
                loopback: it.seeds,
            },
            &it.figure,
            &told,
        )?);
        bar.finish_and_clear();
    }
    let held = all.iter().filter(|trial| trial.holds()).count();
    println!(
        "{:<44} {:>18} {:>9} {:>6}",
        format!("difference of {}", it.figure),
        "model",
        "loopback",
        "holds"
    );
    for trial in &all {
        let name: String = format!("{}: {}", trial.experiment, trial.other)
            .chars()
            .take(44)
            .collect();
        let model = format!("{:+.3} ± {:.3}", trial.model, trial.tolerance);
        let holds = if trial.holds() { "yes" } else { "no" };
        println!("{name:<44} {model:>18} {:>+9.3} {holds:>6}", trial.measured);
    }
    println!("{held} of {} hold", all.len());
    if let Some(out) = &it.out {
        let lines: Result<Vec<String>, _> = all.iter().map(serde_json::to_string).collect();
        let text = lines
            .map_err(|error| Short::Input(error.to_string()))?
            .join("\n")
            + "\n";
        std::fs::write(out, text)
            .map_err(|error| Short::Input(format!("{}: {error}", out.display())))?;
    }
    match held as f64 >= it.wanted * all.len() as f64 {
        true => Ok(()),
        false => Err(Short::Fell(format!(
            "{held} of {} trials hold, {:.0}% wanted",
            all.len(),
            it.wanted * 100.0
        ))),
    }
}

fn load(it: &Bears) -> Result<(), Short> {
    let ways = RunnerOptions {
        gateway_program: edge(it.edge.clone())?,
        jobs: 1,
        ..RunnerOptions::default()
    };
    println!(
        "{:>9} {:>8} {:>9} {:>9} {:>9} {:>10} {:>8}",
        "calls/s", "proxied", "p50 ms", "p99 ms", "cpu/call", "lab late", "borne"
    );
    let test = capacity::CapacityTest {
        p99_ms: it.p99_ms,
        counter: !it.no_counter,
        seconds: it.seconds,
    };
    let rest = runs::play_one(&test.experiment(0.0), &Variant::default(), 1, &ways)?;
    let mut told = |step: &capacity::Step| {
        let results = &step.results;
        let each = results.gateway_cpu_seconds
            / (results
                .by_second
                .iter()
                .map(|second| second.requests)
                .sum::<u64>()
                .max(1) as f64);
        println!(
            "{:>9.0} {:>8} {:>9.2} {:>9.2} {:>6.0} us {:>7.1} ms {:>8}",
            step.rate,
            results.totals.succeeded,
            results.succeeded_ms.p50,
            results.succeeded_ms.p99,
            each * 1e6,
            results.lateness.p99_ms,
            if step.sustained { "yes" } else { "no" }
        );
    };
    let borne = test.search(&ways, &mut told)?;
    println!(
        "borne at p99 under {} ms: {borne:.0} API calls a second",
        it.p99_ms
    );
    println!(
        "at rest: {:.2}% of a core, {:.1} MB",
        100.0 * rest.gateway_cpu_seconds / rest.wall_seconds.max(1.0),
        rest.gateway_mb
    );
    Ok(())
}

fn grow(it: &Grow) -> Result<(), Short> {
    println!(
        "{:>9} {:>8} {:>9} {:>10} {:>14} {:>14}",
        "gateways", "servers", "calls", "took", "a second of day", "a call"
    );
    for gateways in &it.gateways {
        let text = format!("title = \"Growing\"\nseconds = {:?}", it.seconds);
        let mut day = Experiment::parse("growing", &text).map_err(LabError::from)?;
        day.fleet.gateways = *gateways;
        day.fleet.servers = (gateways * 2 / 3).max(1);
        day.load.request_rate = it.calls * *gateways as f64 * 0.5;
        day.load.gateways_per_account = (gateways / 10).clamp(1, 30);
        day.counter.capacity = (gateways * 10).max(500) as f64;
        if let Some(problem) = day.problems().first() {
            return Err(Short::Input(problem.to_string()));
        }
        let start = Clock::start();
        let results = runs::play_one(&day, &Variant::default(), 1, &RunnerOptions::default())?;
        let took = start.now().as_secs_f64();
        let asked: u64 = results.by_second.iter().map(|second| second.requests).sum();
        println!(
            "{gateways:>9} {:>8} {asked:>9} {took:>8.2} s {:>12.3} s {:>11.1} us",
            day.fleet.servers,
            took / it.seconds,
            took / asked.max(1) as f64 * 1e6
        );
        verdict(&[results])?;
    }
    Ok(())
}
