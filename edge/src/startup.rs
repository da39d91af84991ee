//! What a start needs of the system, asked for again where it is not available for a moment: a start that is refused
//! costs more than one that takes a little longer.

use slog::Logger;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// How often something is asked for.
const MAX_ATTEMPTS: u32 = 100;

/// The wait between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What a system says that is short of something, interrupted, or still clearing up after a former process.
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

/// Something that a start needs could not be had.
#[derive(Debug, Error)]
#[error("cannot set up {resource}")]
pub(crate) struct StartupError {
    resource: &'static str,
    source: io::Error,
}

fn is_transient(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| TRANSIENT_ERRORS.contains(&number))
}

/// Sets something up, at once or within some seconds. `resource` is what messages name it by.
pub(crate) fn acquire<T>(
    log: &Logger,
    resource: &'static str,
    mut set_up: impl FnMut() -> io::Result<T>,
) -> Result<T, StartupError> {
    for attempt in 1..MAX_ATTEMPTS {
        match set_up() {
            Err(error) if is_transient(&error) => {
                if attempt == 1 {
                    slog::warn!(log, "not available yet, trying again"; "resource" => resource, "error" => %error);
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
            outcome => return outcome.map_err(|source| StartupError { resource, source }),
        }
    }
    set_up().map_err(|source| StartupError { resource, source })
}
