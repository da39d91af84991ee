//! `wellcrank`: the operators' command. Exit codes: 0 success, 1 an expectation was not met (a rule was broken, a
//! gateway crashed or a figure was below its limit), 2 invalid input or another error. `edge` exits with 1 if it fails.

mod error;
mod lab;

use clap::{Parser, Subcommand, ValueEnum};
use error::CommandError;
use slog::{o, Drain, Logger};
use std::process::ExitCode;
use std::sync::Mutex;
use wellcrank_lab::error::ErrorChain;

/// Meters many customers' use of one shared service: the gateway, and a laboratory for it.
#[derive(Parser)]
#[command(
    name = "wellcrank",
    version,
    propagate_version = true,
    max_term_width = 100
)]
#[command(
    after_help = "Exit codes: 0 success; 1 an expectation was not met: a rule was broken, a gateway crashed or \
                  a figure was below its limit; 2 invalid input or another error. The command 'edge' exits with 1 \
                  if it fails."
)]
struct CommandLine {
    /// Format of log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

/// Format of log lines.
#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// The laboratory: runs an emulated platform and experiments, and compares and reports their results.
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Runs one gateway, as wellcrank-edge does. BALANCER_CONFIG names its configuration file.
    Edge,
}

fn logger(format: LogFormat) -> Logger {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Text => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(
                slog_term::FullFormat::new(plain)
                    .use_utc_timestamp()
                    .build()
                    .ignore_res(),
            )
        }
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stderr()).ignore_res()),
    };
    Logger::root(Mutex::new(drain).ignore_res(), o!())
}

fn run(command: Command, log: &Logger) -> Result<(), CommandError> {
    match command {
        Command::Lab(command) => lab::run(command, log),
        Command::Edge => {
            wellcrank_edge::main();
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let log = logger(command_line.log_format);
    let Err(error) = run(command_line.command, &log) else {
        return ExitCode::SUCCESS;
    };
    match &error {
        // An unmet expectation is a result of the command, so it goes to the log in the chosen format.
        CommandError::Unmet(unmet) => slog::error!(log, "expectation not met"; "why" => %unmet),
        other => eprintln!("wellcrank: {}", ErrorChain(other)),
    }
    ExitCode::from(error.exit_code())
}
