//! What a start needs of the system, asked for again where it is not to be had for a moment: a start that is refused
//! costs more than one that takes a little longer.

use slog::Logger;
use std::io;
use std::time::Duration;

/// So often something is asked for, and how long between.
const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);

/// What a system that is short of something, interrupted, or still clearing up after a former process says.
const PASSING: [i32; 8] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EINTR,
    libc::EAGAIN,
    libc::EADDRINUSE,
    libc::EADDRNOTAVAIL,
];

fn passes(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| PASSING.contains(&number))
}

/// Makes `what`, at once or within some seconds.
pub fn made<T>(log: &Logger, what: &str, mut make: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for tried in 1..TRIES {
        match make() {
            Err(error) if passes(&error) => {
                if tried == 1 {
                    slog::warn!(log, "not to be had yet, trying again"; "what" => what, "error" => %error);
                }
                std::thread::sleep(PAUSE);
            }
            made => return made,
        }
    }
    make()
}
