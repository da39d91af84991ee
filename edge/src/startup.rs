//! Sets up the resources of the operating system that the gateway needs at start-up. Transient errors are retried, since a
//! failed start costs more than a slightly longer one.

use slog::Logger;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// The maximum number of attempts to set up a resource.
const MAX_ATTEMPTS: u32 = 100;

/// The time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The error numbers of a system that is short of a resource, was interrupted or has not yet released the address of an
/// earlier process.
const TRANSIENT_ERRORS: [i32; 8] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EINTR,
    libc::EAGAIN,
    libc::EADDRINUSE,
    libc::EADDRNOTAVAIL,
];

/// A resource that the gateway needs at start-up could not be set up.
#[derive(Debug, Error)]
#[error("cannot set up {resource}")]
pub(crate) struct StartupError {
    resource: String,
    source: io::Error,
}

impl StartupError {
    fn new(resource: &str, source: io::Error) -> StartupError {
        StartupError {
            resource: resource.to_string(),
            source,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| TRANSIENT_ERRORS.contains(&number))
}

/// Sets up a resource. Transient errors are retried for about 5 seconds. `resource` is the resource's name in messages.
pub(crate) fn acquire<T>(
    log: &Logger,
    resource: &str,
    mut set_up: impl FnMut() -> io::Result<T>,
) -> Result<T, StartupError> {
    for attempt in 1..MAX_ATTEMPTS {
        match set_up() {
            Err(error) if is_transient(&error) => {
                if attempt == 1 {
                    slog::warn!(log, "resource not available yet, retrying"; "resource" => resource, "error" => %error);
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
            outcome => return outcome.map_err(|source| StartupError::new(resource, source)),
        }
    }
    set_up().map_err(|source| StartupError::new(resource, source))
}
