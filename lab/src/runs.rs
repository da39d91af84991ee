//! Runs an experiment's variants with its seeds, several runs at a time, and stores the results as JSON Lines.

use crate::error::LabError;
use crate::experiment::{Engine, Experiment, Variant};
use crate::metrics::{Lateness, Results};
use crate::record::{self, RecordedRequest};
use crate::{loopback, simulated};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Name of the file of results in a folder.
const RESULTS_FILE: &str = "results.jsonl";

/// Options of the runs of an experiment.
#[derive(Clone, Default)]
pub struct RunnerOptions {
    /// Replaces the engine of the experiment.
    pub engine: Option<Engine>,
    /// Replaces the seeds of the experiment.
    pub seeds: Option<Vec<u64>>,
    /// Number of runs at a time; 0 counts as 1.
    pub jobs: usize,
    /// The gateway program for the loopback engine, for variants that name none.
    pub gateway_program: loopback::GatewayProgram,
    /// Folder for the gateways' logs of the loopback engine.
    pub log_dir: Option<PathBuf>,
    /// Number of times that a loopback run is repeated if the laboratory itself was too late in it.
    pub max_reruns: usize,
    /// Folder that the relative paths of files in an experiment refer to.
    pub base_dir: PathBuf,
}

/// Reads the recording that an experiment replays, and scales it by the experiment's factor; empty if it replays none.
pub fn load_replay(
    experiment: &Experiment,
    seed: u64,
    base_dir: &Path,
) -> Result<Vec<RecordedRequest>, LabError> {
    let Some(file) = &experiment.load.replay else {
        return Ok(Vec::new());
    };
    let path = base_dir.join(file);
    let reader = File::open(&path).map_err(LabError::file(&path, "cannot be opened"))?;
    let requests = match record::read(reader) {
        Ok(requests) => requests,
        Err(source) => return Err(LabError::Recording { path, source }),
    };
    for request in &requests {
        check_recorded_names(experiment, request, &path)?;
    }
    Ok(record::scale(&requests, experiment.load.replay_scale, seed))
}

/// Checks that the experiment has the route and the plan of a recorded request.
fn check_recorded_names(
    experiment: &Experiment,
    request: &RecordedRequest,
    path: &Path,
) -> Result<(), LabError> {
    let unknown = |kind: &'static str, name: &str| LabError::UnknownName {
        path: path.to_path_buf(),
        kind,
        name: name.to_string(),
    };
    if experiment.route_index(&request.route).is_none() {
        return Err(unknown("route", &request.route));
    }
    if experiment.plan_index(&request.plan).is_none() {
        return Err(unknown("plan", &request.plan));
    }
    Ok(())
}

/// Runs a variant with a seed.
pub fn run_one(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    options: &RunnerOptions,
) -> Result<Results, LabError> {
    let changed = experiment.with_variant(variant)?;
    let replay = load_replay(&changed, seed, &options.base_dir)?;
    match options.engine.unwrap_or(experiment.engine) {
        Engine::Simulated => {
            let simulated_options = simulated::RunOptions {
                defect: None,
                replay,
            };
            simulated::run_experiment(experiment, variant, seed, &simulated_options)
        }
        Engine::Loopback => run_on_loopback(experiment, variant, seed, options, &replay),
    }
}

/// Runs a variant with the loopback engine, and repeats the run if the laboratory itself was too late. If it was too
/// late in every repetition, the results are those with the smallest worst lateness, whatever their figures are.
fn run_on_loopback(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    options: &RunnerOptions,
    replay: &[RecordedRequest],
) -> Result<Results, LabError> {
    let run_name = format!("{}-{seed}", variant.name);
    let run_once = || {
        let loopback_options = loopback::RunOptions {
            gateway_program: options.gateway_program.clone(),
            replay: replay.to_vec(),
            log_dir: options.log_dir.as_ref().map(|dir| dir.join(&run_name)),
            ..Default::default()
        };
        loopback::run_experiment(experiment, variant, seed, loopback_options)
    };
    let mut results = run_once()?;
    for _ in 0..options.max_reruns {
        if !results.lateness.excessive {
            break;
        }
        let rerun = run_once()?;
        if is_less_late(&rerun.lateness, &results.lateness) {
            results = rerun;
        }
    }
    Ok(results)
}

/// Whether the laboratory was less late in one run than in the other: excessive lateness is compared first, then the
/// worst lateness.
fn is_less_late(one: &Lateness, other: &Lateness) -> bool {
    if one.excessive != other.excessive {
        return other.excessive;
    }
    one.worst_ms < other.worst_ms
}

/// Runs all variants with all seeds. The results are in the order of variants and seeds, whichever run ends first.
/// `on_result` is called with each result as its run ends. No further run is started after one that returned an error.
pub fn run_all(
    experiment: &Experiment,
    options: &RunnerOptions,
    on_result: &(dyn Fn(&Result<Results, LabError>) + Sync),
) -> Result<Vec<Results>, LabError> {
    let seeds = options.seeds.as_ref().unwrap_or(&experiment.seeds);
    let runs: Vec<(Variant, u64)> = experiment
        .variants_or_default()
        .into_iter()
        .flat_map(|variant| seeds.iter().map(move |seed| (variant.clone(), *seed)))
        .collect();
    let next_run = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    let run_remaining = || {
        while let Some((index, (variant, seed))) = take_next(&runs, &next_run) {
            let result = run_one(experiment, variant, *seed, options);
            on_result(&result);
            if result.is_err() {
                next_run.store(runs.len(), Ordering::SeqCst);
            }
            let mut finished = finished.lock().unwrap_or_else(PoisonError::into_inner);
            finished.push((index, result));
        }
    };
    thread::scope(|scope| {
        for _ in 0..options.jobs.clamp(1, runs.len().max(1)) {
            scope.spawn(run_remaining);
        }
    });
    let mut results = finished
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// The next item that no other thread has taken.
fn take_next<'a, T>(items: &'a [T], next: &AtomicUsize) -> Option<(usize, &'a T)> {
    let index = next.fetch_add(1, Ordering::SeqCst);
    Some((index, items.get(index)?))
}

/// Writes results to a file, one per line. They are written to a temporary file (`.part`) first, which then replaces
/// the file, so that the file never holds a part of the results.
pub fn write_results(path: &Path, results: &[Results]) -> Result<(), LabError> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(LabError::file(folder, "cannot be created"))?;
    }
    let partial = path.with_extension("part");
    write_lines(&partial, results).map_err(LabError::file(&partial, "cannot be written"))?;
    fs::rename(&partial, path).map_err(LabError::file(path, "cannot be replaced"))
}

fn write_lines(path: &Path, results: &[Results]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    for result in results {
        writeln!(file, "{}", serde_json::to_string(result)?)?;
    }
    file.sync_all()
}

/// Reads results from a file, or from `results.jsonl` in a folder.
pub fn read_results(path: &Path) -> Result<Vec<Results>, LabError> {
    let path = if path.is_dir() {
        path.join(RESULTS_FILE)
    } else {
        path.to_path_buf()
    };
    let file = File::open(&path).map_err(LabError::file(&path, "cannot be opened"))?;
    let mut results = Vec::new();
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let text = line.map_err(LabError::file(&path, "cannot be read"))?;
        let result = serde_json::from_str(&text).map_err(|source| LabError::ResultsLine {
            path: path.clone(),
            line: index + 1,
            source,
        })?;
        results.push(result);
    }
    if results.is_empty() {
        return Err(LabError::NoResults { path });
    }
    Ok(results)
}

#[cfg(test)]
mod tests;
