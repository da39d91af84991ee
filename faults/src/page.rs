//! The page of numbers that a test and the processes it has loaded the library into share: which system calls fail
//! next, and by how much the wall clock is off. Tests that write it include this file.

/// Names the file of the page in the environment of a process.
pub const FILE: &str = "WELLCRANK_FAULTS";

/// The numbers on the page, each of eight bytes in the machine's order.
pub const NUMBERS: usize = 64;

/// Nanoseconds by which the wall clock is ahead.
pub const WALL_AHEAD: usize = 0;
/// The most bytes that one read and one write move; 0: no limit.
pub const MOST_READ: usize = 1;
pub const MOST_WRITTEN: usize = 2;
/// So many of the next writes are held up, for so many milliseconds each.
pub const HELD_UP: usize = 3;
pub const HELD_UP_MS: usize = 4;

/// The system calls that can be made to fail.
pub const CALLS: [&str; 7] = [
    "accept", "socket", "connect", "register", "wait", "read", "write",
];

/// Where a call's error number stands; behind it, how many of the next calls fail with it.
pub fn error_of(call: &str) -> Option<usize> {
    CALLS
        .iter()
        .position(|known| *known == call)
        .map(|place| 8 + 2 * place)
}
