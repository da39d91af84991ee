//! The layout of the memory that a test shares with the processes into which it has loaded the library: a file of
//! slots, each an `i64` in the machine's byte order. All zero, it changes nothing.

/// The environment variable that names the shared file.
pub(crate) const FILE_VARIABLE: &str = "WELLCRANK_FAULT_INJECTION";

/// How many slots there are.
pub(crate) const SLOT_COUNT: usize = 64;

/// The first of the slots of system calls, of which each call has two.
const FIRST_CALL_SLOT: usize = 8;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SystemCall {
    /// accept4(2).
    Accept,
    /// socket(2).
    Socket,
    /// connect(2).
    Connect,
    /// epoll_ctl(2) that adds a descriptor. To change or remove one needs no memory, so these never fail.
    PollAdd,
    /// epoll_wait(2).
    PollWait,
    /// recv(2).
    Read,
    /// send(2).
    Write,
}

/// What a slot holds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Slot {
    /// By how many nanoseconds the wall clock is ahead.
    WallClockOffset,
    /// The most bytes that one read moves; 0: no limit.
    MaxReadBytes,
    /// The most bytes that one write moves; 0: no limit.
    MaxWriteBytes,
    /// How many of the next writes are stalled.
    StalledWrites,
    /// For how many milliseconds each of them is stalled.
    StallMilliseconds,
    /// The error number with which a system call fails.
    ErrorNumber(SystemCall),
    /// How many of the next calls fail with it.
    FailureCount(SystemCall),
}

impl Slot {
    /// Where the slot stands among all.
    pub(crate) fn index(self) -> usize {
        match self {
            Slot::WallClockOffset => 0,
            Slot::MaxReadBytes => 1,
            Slot::MaxWriteBytes => 2,
            Slot::StalledWrites => 3,
            Slot::StallMilliseconds => 4,
            Slot::ErrorNumber(call) => FIRST_CALL_SLOT + 2 * call as usize,
            Slot::FailureCount(call) => FIRST_CALL_SLOT + 2 * call as usize + 1,
        }
    }
}
