//! `wellcrank lab check`: are these files whole experiments?

use super::common::{base_dir, load_experiment};
use crate::error::CommandError;
use clap::Args;
use std::path::{Path, PathBuf};
use wellcrank_lab::error::ErrorChain;
use wellcrank_lab::runs;

/// The seed with which recorded traffic is scaled when it is checked.
const REPLAY_SEED: u64 = 1;

/// Arguments of `lab check`.
#[derive(Args)]
pub(crate) struct CheckArgs {
    /// The experiments.
    files: Vec<PathBuf>,
}

pub(super) fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let mut complaints = Vec::new();
    for file in &args.files {
        if let Err(error) = check(file) {
            complaints.push(ErrorChain(&error).to_string());
        }
    }
    if complaints.is_empty() {
        Ok(())
    } else {
        Err(CommandError::InvalidFiles(complaints))
    }
}

/// Checks one experiment and the recording that it names.
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
