//! The layout of the memory that a test shares with the processes that load the library: a file of slots, each an `i64`
//! in the machine's byte order. If all slots are zero, no faults are injected.

/// The environment variable that holds the path of the shared file.
pub(crate) const FILE_VARIABLE: &str = "WELLCRANK_FAULT_INJECTION";

/// The number of slots in the shared file.
pub(crate) const SLOT_COUNT: usize = 64;

/// The index of the first slot for system calls. Each system call has two slots.
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
    /// epoll_ctl(2) that adds a descriptor. Changing or removing a descriptor needs no memory, so it is never made to
    /// fail.
    PollAdd,
    /// epoll_wait(2).
    PollWait,
    /// recv(2).
    Read,
    /// send(2).
    Write,
}

/// A slot, named after the value that it holds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Slot {
    /// The offset of the wall clock from the machine's, in nanoseconds; negative if it is behind.
    WallClockOffset,
    /// The maximum number of bytes that one read returns; 0 means no limit.
    MaxReadBytes,
    /// The maximum number of bytes that one write sends; 0 means no limit.
    MaxWriteBytes,
    /// How many of the next writes are delayed.
    StalledWrites,
    /// The delay of each of these writes, in milliseconds.
    StallMilliseconds,
    /// The error number (`errno`) with which a system call fails.
    ErrorNumber(SystemCall),
    /// How many of the next calls of a system call fail with its error number.
    FailureCount(SystemCall),
}

impl Slot {
    /// Returns the index of the slot in the shared file.
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
