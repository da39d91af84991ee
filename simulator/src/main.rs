//! The adapter that runs the controllers of many gateways on the simulator's wire: batches of events come in as JSON
//! lines on standard input, and each batch is answered by the actions of the controllers on standard output.
//!
//! It decodes events ([`message`], [`event`]), hands them to the controller of their instance ([`host`]) and encodes
//! what the controllers do ([`action`]). It decides nothing, and the instances share nothing.

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

/// The text of an error and of its causes in one line, separated by colons.
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
