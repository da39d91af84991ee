//! Plays an experiment's variants on its seeds, several at a time, and keeps the results as JSON lines.

use crate::error::LabError;
use crate::experiment::{Engine, Experiment, Variant};
use crate::metrics::Results;
use crate::record::{self, Recorded};
use crate::{loopback, simulated};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

/// How runs are made.
#[derive(Clone, Default)]
pub struct Ways {
    pub engine: Option<Engine>,
    pub seeds: Option<Vec<u64>>,
    pub jobs: usize,
    /// The edge node that is played on loopback where a variant names none.
    pub edge: loopback::Program,
    pub logs: Option<PathBuf>,
    /// A day on which the laboratory itself ran late is played again, so many times at most.
    pub again: usize,
    /// The folder against which files that an experiment names are looked up.
    pub beside: PathBuf,
}

/// Recorded traffic that an experiment replays, scaled as it says.
pub fn replay(
    experiment: &Experiment,
    seed: u64,
    beside: &Path,
) -> Result<Vec<Recorded>, LabError> {
    let Some(file) = &experiment.load.replay else {
        return Ok(Vec::new());
    };
    let path = beside.join(file);
    let open = File::open(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let all = record::read(open).map_err(|why| format!("{}: {why}", path.display()))?;
    for it in &all {
        for (what, name, known) in [
            ("route", &it.route, experiment.route(&it.route)),
            ("plan", &it.plan, experiment.plan(&it.plan)),
        ] {
            if known.is_none() {
                return Err(LabError::Text(format!(
                    "{}: the experiment has no {what} '{name}'",
                    path.display()
                )));
            }
        }
    }
    Ok(record::scaled(&all, experiment.load.scale, seed))
}

/// One day.
pub fn one(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    ways: &Ways,
) -> Result<Results, LabError> {
    let changed = experiment
        .with(variant)
        .map_err(|wrongs| format!("{wrongs:?}"))?;
    let replay = replay(&changed, seed, &ways.beside)?;
    match ways.engine.unwrap_or(experiment.engine) {
        Engine::Simulated => simulated::play(
            experiment,
            variant,
            seed,
            &simulated::RunOptions {
                replay,
                defect: None,
            },
        ),
        Engine::Loopback => {
            let logs = ways
                .logs
                .as_ref()
                .map(|logs| logs.join(format!("{}-{seed}", variant.name)));
            let play = || {
                let (replay, logs) = (replay.clone(), logs.clone());
                let terms = loopback::Terms {
                    edge: ways.edge.clone(),
                    replay,
                    logs,
                    ..Default::default()
                };
                Ok::<Results, LabError>(loopback::play(experiment, variant, seed, terms)?)
            };
            let mut results = play()?;
            for _ in 0..ways.again {
                if !results.lateness.excessive {
                    break;
                }
                results = play()?;
            }
            Ok(results)
        }
    }
}

/// All variants on all seeds, in the order of variant and seed whatever ends first. `told` hears of each end.
pub fn all(
    experiment: &Experiment,
    ways: &Ways,
    told: &(dyn Fn(&Result<Results, LabError>) + Sync),
) -> Result<Vec<Results>, LabError> {
    let seeds = ways
        .seeds
        .clone()
        .unwrap_or_else(|| experiment.seeds.clone());
    let days: Vec<(Variant, u64)> = experiment
        .sides()
        .into_iter()
        .flat_map(|side| seeds.iter().map(move |seed| (side.clone(), *seed)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..ways.jobs.clamp(1, days.len().max(1)) {
            scope.spawn(|| loop {
                let place = next.fetch_add(1, Ordering::SeqCst);
                let Some((variant, seed)) = days.get(place) else {
                    return;
                };
                let result = one(experiment, variant, *seed, ways);
                told(&result);
                if result.is_err() {
                    next.store(days.len(), Ordering::SeqCst);
                }
                done.lock()
                    .unwrap_or_else(|broken| broken.into_inner())
                    .push((place, result));
            });
        }
    });
    let mut done = done
        .into_inner()
        .unwrap_or_else(|broken| broken.into_inner());
    done.sort_by_key(|(place, _)| *place);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Writes results, one a line, to a file that is put in place whole.
pub fn write(path: &Path, results: &[Results]) -> Result<(), LabError> {
    let said = |error: std::io::Error| format!("{}: {error}", path.display());
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(said)?;
    }
    let half = path.with_extension("part");
    let mut out = File::create(&half).map_err(said)?;
    for it in results {
        let line = serde_json::to_string(it).map_err(|error| error.to_string())?;
        writeln!(out, "{line}").map_err(said)?;
    }
    out.sync_all()
        .and_then(|()| fs::rename(&half, path))
        .map_err(said)?;
    Ok(())
}

/// Reads results from a file, or from `results.jsonl` in a folder.
pub fn read(path: &Path) -> Result<Vec<Results>, LabError> {
    let path = if path.is_dir() {
        path.join("results.jsonl")
    } else {
        path.to_path_buf()
    };
    let file = File::open(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut all = Vec::new();
    for (place, line) in BufReader::new(file).lines().enumerate() {
        let wrong = |why: String| format!("{}:{}: {why}", path.display(), place + 1);
        let line = line.map_err(|error| wrong(error.to_string()))?;
        all.push(serde_json::from_str(&line).map_err(|error| wrong(error.to_string()))?);
    }
    if all.is_empty() {
        return Err(LabError::Text(format!(
            "{}: no results in it",
            path.display()
        )));
    }
    Ok(all)
}
