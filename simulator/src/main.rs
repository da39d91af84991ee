//! The adapter that runs the controllers of many gateways for a simulator. It reads batches of events as JSON lines
//! from standard input and replies to each batch with the controllers' actions as JSON lines on standard output.
//!
//! The adapter decodes events ([`message`], [`event`]), passes them to the controller of their instance ([`host`]) and
//! encodes the controllers' actions ([`action`]). All decisions are made by the controllers, and the instances share no
//! state.

mod action;
mod batch;
mod error;
mod event;
mod fields;
mod host;
mod message;

use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    match batch::serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wellcrank-simulator: {}", with_causes(&error));
            ExitCode::FAILURE
        }
    }
}

/// Returns the texts of an error and of its causes in one line, separated by colons.
fn with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(source) = cause {
        text.push_str(": ");
        text.push_str(&source.to_string());
        cause = source.source();
    }
    text
}
