//! Helpers that several sub-commands share: loading experiments and results, choosing the edge node program and the
//! number of parallel runs, and showing progress.

use crate::error::{system_error, CommandError};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::thread::available_parallelism;
use wellcrank_lab::experiment::{Engine, Experiment};
use wellcrank_lab::loopback::GatewayProgram;
use wellcrank_lab::metrics::Results;
use wellcrank_lab::runs;

/// Number of cores to assume when the system does not report it.
const DEFAULT_CORES: usize = 2;
/// Cores that one run on loopback uses: one for the emulated servers, clients, counter and discovery, and up to two for
/// the gateways.
const CORES_PER_LOOPBACK_RUN: usize = 3;

/// Reads an experiment file.
pub(super) fn load_experiment(path: &Path) -> Result<Experiment, CommandError> {
    Ok(Experiment::load(&path.to_string_lossy())?)
}

/// The edge node program to run: the one at `edge_path`, or the one built into this command. Fails if `edge_path` is
/// not a file.
pub(super) fn gateway_program(edge_path: Option<&Path>) -> Result<GatewayProgram, CommandError> {
    if let Some(path) = edge_path {
        if !path.is_file() {
            return Err(CommandError::NoSuchProgram(path.to_path_buf()));
        }
        return Ok(GatewayProgram::at_path(path));
    }
    let path = std::env::current_exe()
        .map_err(system_error("cannot determine the path of this command"))?;
    Ok(GatewayProgram {
        arguments: vec!["edge".into()],
        ..GatewayProgram::at_path(path)
    })
}

/// The folder of an experiment file. A recording that the experiment replays is looked up there.
pub(super) fn base_dir(file: &Path) -> PathBuf {
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

/// The number of parallel runs without `--jobs`.
pub(super) fn default_jobs(engine: Engine) -> usize {
    let cores = available_parallelism().map_or(DEFAULT_CORES, |cores| cores.get());
    match engine {
        Engine::Loopback => (cores / CORES_PER_LOOPBACK_RUN).max(1),
        Engine::Simulated => cores,
    }
}

/// A progress bar for `runs` runs. It is hidden when standard error is not a terminal.
pub(super) fn progress_bar(runs: usize) -> ProgressBar {
    let bar = ProgressBar::new(runs as u64);
    let template = "{bar:30} {pos}/{len} runs, {elapsed} elapsed, {eta} left {msg}";
    let style = ProgressStyle::with_template(template);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Reads and concatenates the results of several files or folders.
pub(super) fn read_all_results(paths: &[PathBuf]) -> Result<Vec<Results>, CommandError> {
    let mut results = Vec::new();
    for path in paths {
        results.extend(runs::read_results(path)?);
    }
    Ok(results)
}
