//! What several sub-commands need: experiments, the edge node's program, results, parallel runs, progress.

use crate::error::{system_error, CommandError};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::thread::available_parallelism;
use wellcrank_lab::experiment::{Engine, Experiment};
use wellcrank_lab::loopback::GatewayProgram;
use wellcrank_lab::metrics::Results;
use wellcrank_lab::runs;

/// Cores that the machine is taken to have where the system does not say.
const DEFAULT_CORES: usize = 2;
/// Cores of a run on loopback: one for the stand-ins, and up to two for the gateways.
const CORES_PER_LOOPBACK_RUN: usize = 3;

/// Reads an experiment's file.
pub(super) fn load_experiment(path: &Path) -> Result<Experiment, CommandError> {
    Ok(Experiment::load(&path.to_string_lossy())?)
}

/// The edge node that is played: the named program, or the one that is built into this command.
pub(super) fn gateway_program(named: Option<&Path>) -> Result<GatewayProgram, CommandError> {
    if let Some(path) = named {
        if !path.is_file() {
            return Err(CommandError::NoSuchProgram(path.to_path_buf()));
        }
        return Ok(GatewayProgram::at_path(path));
    }
    let path = std::env::current_exe().map_err(system_error("the path of this command"))?;
    Ok(GatewayProgram {
        arguments: vec!["edge".into()],
        ..GatewayProgram::at_path(path)
    })
}

/// The folder of a file: files that an experiment names are looked up there.
pub(super) fn base_dir(file: &Path) -> PathBuf {
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

/// How many runs are played at a time, if the command line does not say.
pub(super) fn default_jobs(engine: Engine) -> usize {
    let cores = available_parallelism().map_or(DEFAULT_CORES, |cores| cores.get());
    match engine {
        Engine::Loopback => (cores / CORES_PER_LOOPBACK_RUN).max(1),
        Engine::Simulated => cores,
    }
}

/// A progress bar for so many runs; hidden where standard error is no terminal.
pub(super) fn progress_bar(runs: usize) -> ProgressBar {
    let bar = ProgressBar::new(runs as u64);
    let template = "{bar:30} {pos}/{len} runs, {elapsed} elapsed, {eta} left {msg}";
    let style = ProgressStyle::with_template(template);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Reads the results of several files or folders.
pub(super) fn read_all_results(paths: &[PathBuf]) -> Result<Vec<Results>, CommandError> {
    let mut results = Vec::new();
    for path in paths {
        results.extend(runs::read_results(path)?);
    }
    Ok(results)
}
