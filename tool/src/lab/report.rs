//! `wellcrank lab report`: writes stored results as an HTML page.

use super::common::read_all_results;
use super::output::write_page;
use crate::error::CommandError;
use clap::Args;
use slog::Logger;
use std::path::PathBuf;

/// Arguments of `lab report`.
#[derive(Args)]
pub(crate) struct ReportArgs {
    /// Files or folders of results, which go into one report.
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// File to write the HTML page to.
    #[arg(long, default_value = "report.html")]
    html: PathBuf,
}

pub(super) fn run(args: &ReportArgs, log: &Logger) -> Result<(), CommandError> {
    let results = read_all_results(&args.results)?;
    let title = results[0].experiment.clone();
    write_page(&args.html, &title, "", &results)?;
    slog::info!(log, "report written"; "file" => %args.html.display());
    Ok(())
}
