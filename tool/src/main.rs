//! `wellcrank`: the operators' command. Exit codes: 0 done, 1 fell short (a rule broken, a crash, a figure below
//! what was wanted), 2 bad input.

mod lab;

use clap::{Parser, Subcommand, ValueEnum};
use slog::{o, Drain, Logger};
use std::process::ExitCode;
use std::sync::Mutex;
use wellcrank_lab::error::{ErrorChain, LabError};

/// A front door that meters many customers' use of one shared service.
#[derive(Parser)]
#[command(
    name = "wellcrank",
    version,
    propagate_version = true,
    max_term_width = 100
)]
#[command(
    after_help = "Exit codes: 0 done; 1 fell short: a rule broken, a crash, a figure below what was wanted; \
                        2 bad input."
)]
struct Wellcrank {
    /// How log lines on standard error look.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
enum What {
    /// The laboratory: an emulated platform, experiments, comparisons, reports.
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Runs one gateway, as wellcrank-edge does; BALANCER_CONFIG names its file.
    Edge,
}

/// Why a command did not do what it should.
pub enum Short {
    /// It ran, and what came of it falls short.
    Fell(String),
    Input(String),
}

impl From<LabError> for Short {
    fn from(error: LabError) -> Short {
        Short::Input(ErrorChain(&error).to_string())
    }
}

impl From<String> for Short {
    fn from(why: String) -> Short {
        Short::Input(why)
    }
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

fn main() -> ExitCode {
    let asked = Wellcrank::parse();
    let log = logger(asked.log_format);
    let done = match asked.what {
        What::Lab(what) => lab::run(what, &log),
        What::Edge => {
            wellcrank_edge::main();
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Short::Fell(why)) => {
            slog::error!(log, "fell short"; "why" => why);
            ExitCode::from(1)
        }
        Err(Short::Input(why)) => {
            eprintln!("wellcrank: {why}");
            ExitCode::from(2)
        }
    }
}
