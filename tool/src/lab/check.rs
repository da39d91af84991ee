//! `wellcrank lab check`: checks experiment files without running them.

use super::common::{base_dir, load_experiment};
use crate::error::CommandError;
use clap::Args;
use std::path::{Path, PathBuf};
use wellcrank_lab::error::ErrorChain;
use wellcrank_lab::runs;

/// The seed for scaling recorded traffic during a check.
const REPLAY_SEED: u64 = 1;

/// Arguments of `lab check`.
#[derive(Args)]
pub(crate) struct CheckArgs {
    /// Experiment files.
    files: Vec<PathBuf>,
}

pub(super) fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let mut messages = Vec::new();
    for file in &args.files {
        if let Err(error) = check(file) {
            messages.push(ErrorChain(&error).to_string());
        }
    }
    if messages.is_empty() {
        Ok(())
    } else {
        Err(CommandError::InvalidFiles(messages))
    }
}

/// Checks one experiment and, if it replays one, its recording.
fn check(file: &Path) -> Result<(), CommandError> {
    let experiment = load_experiment(file)?;
    runs::load_replay(&experiment, REPLAY_SEED, &base_dir(file))?;
    println!(
        "{}: {} variants, {} seeds",
        file.display(),
        experiment.variants_or_default().len(),
        experiment.seeds.len()
    );
    Ok(())
}
