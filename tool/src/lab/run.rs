//! `wellcrank lab run`: runs an experiment and prints or stores its results.

use super::common::{base_dir, default_jobs, gateway_program, load_experiment, progress_bar};
use super::output::{check_rules, print_comparisons, print_summary, write_page};
use crate::error::CommandError;
use clap::{Args, ValueEnum};
use slog::Logger;
use std::path::{Path, PathBuf};
use wellcrank_lab::error::LabError;
use wellcrank_lab::experiment::{Engine, Experiment};
use wellcrank_lab::metrics::Results;
use wellcrank_lab::runs::{self, RunnerOptions};

/// An engine, as named on the command line.
#[derive(Clone, Copy, ValueEnum)]
enum EngineName {
    /// The gateways' decisions alone, in simulated time.
    Simulated,
    /// The gateways as processes that communicate over loopback sockets, in real time.
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

/// Arguments of `lab run`.
#[derive(Args)]
pub(crate) struct RunArgs {
    /// Experiment file.
    file: PathBuf,
    /// Folder to write results.jsonl and report.html to.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Engine to use in place of the one in the file.
    #[arg(long, value_enum)]
    engine: Option<EngineName>,
    /// Seeds to use in place of those in the file, such as 1,2,3.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Number of parallel runs. On loopback each run uses up to three cores.
    #[arg(long)]
    jobs: Option<usize>,
    /// How many times at most a run on loopback is repeated if the laboratory itself ran late.
    #[arg(long, alias = "again", default_value_t = 2)]
    max_reruns: usize,
    /// Path of an edge node program to run in place of the built-in one.
    #[arg(long)]
    edge: Option<PathBuf>,
    /// Folder to write the gateways' logs to.
    #[arg(long)]
    logs: Option<PathBuf>,
}

pub(super) fn run(args: RunArgs, log: &Logger) -> Result<(), CommandError> {
    let experiment = load_experiment(&args.file)?;
    let engine = args.engine.map_or(experiment.engine, Engine::from);
    let options = RunnerOptions {
        engine: Some(engine),
        seeds: (!args.seeds.is_empty()).then_some(args.seeds),
        jobs: args.jobs.unwrap_or_else(|| default_jobs(engine)),
        gateway_program: gateway_program(args.edge.as_deref())?,
        log_dir: args.logs,
        max_reruns: args.max_reruns,
        base_dir: base_dir(&args.file),
    };
    let results = run_with_progress(&experiment, &options)?;
    println!("{} ({})", experiment.title, engine_title(engine));
    match results.as_slice() {
        [single] => print_summary(single),
        results => print_comparisons(results),
    }
    if let Some(out) = args.out {
        write_results(&out, &experiment, &results)?;
        slog::info!(log, "results written"; "folder" => %out.display());
    }
    check_rules(&results)?;
    Ok(())
}

fn run_with_progress(
    experiment: &Experiment,
    options: &RunnerOptions,
) -> Result<Vec<Results>, LabError> {
    let seeds = options.seeds.as_ref().unwrap_or(&experiment.seeds);
    let bar = progress_bar(experiment.variants_or_default().len() * seeds.len());
    let results = runs::run_all(experiment, options, &|_| bar.inc(1))?;
    bar.finish_and_clear();
    Ok(results)
}

fn engine_title(engine: Engine) -> &'static str {
    match engine {
        Engine::Loopback => "loopback",
        Engine::Simulated => "simulated time",
    }
}

/// Writes the results and their HTML report to a folder.
fn write_results(
    out: &Path,
    experiment: &Experiment,
    results: &[Results],
) -> Result<(), CommandError> {
    runs::write_results(&out.join("results.jsonl"), results)?;
    let page = out.join("report.html");
    write_page(&page, &experiment.title, &experiment.about, results)
}
