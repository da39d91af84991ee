//! `wellcrank lab validate`: checks that simulated time predicts what loopback measures.

use super::common::{base_dir, default_jobs, gateway_program, load_experiment, progress_bar};
use crate::error::{file_error, CommandError, UnmetExpectation};
use clap::Args;
use std::path::{Path, PathBuf};
use wellcrank_lab::experiment::Engine;
use wellcrank_lab::loopback::GatewayProgram;
use wellcrank_lab::runs::RunnerOptions;
use wellcrank_lab::validate::{self, SeedCounts, Trial};

/// How many times at most a run is repeated if the laboratory itself ran late.
const MAX_RERUNS: usize = 2;
/// Trial names in the table are cut to this number of characters.
const MAX_TRIAL_NAME_CHARS: usize = 44;

/// Arguments of `lab validate`.
#[derive(Args)]
pub(crate) struct ValidateArgs {
    /// Experiment files, each with at least two variants.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Number of seeds in simulated time; at least 3 are run.
    #[arg(long, default_value_t = 20)]
    model_seeds: usize,
    /// Number of seeds on loopback.
    #[arg(long, default_value_t = 2)]
    seeds: usize,
    /// Name of the figure to compare.
    #[arg(long, default_value = "net")]
    figure: String,
    /// Number of parallel runs.
    #[arg(long)]
    jobs: Option<usize>,
    /// Path of an edge node program to run in place of the built-in one.
    #[arg(long)]
    edge: Option<PathBuf>,
    /// The smallest accepted share of trials that hold, from 0 to 1. Exits with code 1 if fewer hold.
    #[arg(long, alias = "wanted", default_value_t = 0.9)]
    wanted_share: f64,
    /// File to write the trials to, one JSON object per line.
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(super) fn run(args: &ValidateArgs) -> Result<(), CommandError> {
    let program = gateway_program(args.edge.as_deref())?;
    let mut trials = Vec::new();
    for file in &args.files {
        trials.extend(run_trials(file, args, &program)?);
    }
    let held = trials.iter().filter(|trial| trial.holds()).count();
    print_trials(&trials, &args.figure);
    println!("{held} of {} hold", trials.len());
    if let Some(out) = &args.out {
        write_trials(out, &trials)?;
    }
    if (held as f64) < args.wanted_share * trials.len() as f64 {
        return Err(CommandError::Unmet(UnmetExpectation::FewTrialsHold {
            held,
            trials: trials.len(),
            wanted_share: args.wanted_share,
        }));
    }
    Ok(())
}

/// Runs the trials of one experiment, in which each variant is compared with the first one.
fn run_trials(
    file: &Path,
    args: &ValidateArgs,
    program: &GatewayProgram,
) -> Result<Vec<Trial>, CommandError> {
    let experiment = load_experiment(file)?;
    let variants = experiment.variants_or_default().len();
    if variants < 2 {
        return Err(CommandError::TooFewVariants {
            file: file.to_path_buf(),
            count: experiment.variants.len(),
        });
    }
    let options = RunnerOptions {
        jobs: args.jobs.unwrap_or_else(|| default_jobs(Engine::Loopback)),
        gateway_program: program.clone(),
        max_reruns: MAX_RERUNS,
        base_dir: base_dir(file),
        ..RunnerOptions::default()
    };
    let seeds = SeedCounts {
        model: args.model_seeds,
        loopback: args.seeds,
    };
    let bar = progress_bar(variants * (args.model_seeds + args.seeds));
    let on_run = |_: &_| bar.inc(1);
    let trials = validate::trials(&experiment, &options, seeds, &args.figure, &on_run)?;
    bar.finish_and_clear();
    Ok(trials)
}

fn print_trials(trials: &[Trial], figure: &str) {
    let title = format!("difference of {figure}");
    println!(
        "{title:<MAX_TRIAL_NAME_CHARS$} {:>18} {:>9} {:>6}",
        "model", "loopback", "holds"
    );
    for trial in trials {
        let full_name = format!("{}: {}", trial.experiment, trial.other);
        let name: String = full_name.chars().take(MAX_TRIAL_NAME_CHARS).collect();
        let model = format!("{:+.3} ± {:.3}", trial.model, trial.tolerance);
        let holds = if trial.holds() { "yes" } else { "no" };
        println!(
            "{name:<MAX_TRIAL_NAME_CHARS$} {model:>18} {:>+9.3} {holds:>6}",
            trial.measured
        );
    }
}

/// Writes trials as JSON, one object per line.
fn write_trials(file: &Path, trials: &[Trial]) -> Result<(), CommandError> {
    let mut text = String::new();
    for trial in trials {
        text += &serde_json::to_string(trial).map_err(CommandError::Json)?;
        text.push('\n');
    }
    std::fs::write(file, text).map_err(file_error(file, "cannot be written"))
}
