//! The test's side of fault injection: how the system calls of the processes that a test starts are made to fail.
//!
//! Tests include this file by its path, as to link the library would put its system calls into the test itself.

mod layout;

pub(crate) use layout::SystemCall;
use layout::{Slot, FILE_VARIABLE, SLOT_COUNT};
use std::ffi::OsString;
use std::fmt;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::str::FromStr;

/// The library's file name; the build leaves it beside the tests.
const LIBRARY: &str = "libwellcrank_fault_injection.so";

/// The size of one slot of the shared file.
const SLOT_BYTES: usize = size_of::<i64>();

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Makes system calls fail in the processes that are started with its [`environment`](FaultInjector::environment). It
/// owns the file that it shares with them, and removes it in the end.
pub(crate) struct FaultInjector {
    path: PathBuf,
    file: File,
}

impl FaultInjector {
    /// An injector that changes nothing yet; `name` is unique among those of this test process.
    ///
    /// # Panics
    /// When the shared file can't be made.
    pub(crate) fn create(name: &str) -> FaultInjector {
        let file_name = format!("wellcrank-{}-{name}.faults", std::process::id());
        let path = std::env::temp_dir().join(file_name);
        std::fs::write(&path, [0; SLOT_COUNT * SLOT_BYTES]).expect("the shared file is made");
        let file = File::options()
            .write(true)
            .open(&path)
            .expect("the shared file opens");
        FaultInjector { path, file }
    }

    /// The environment variables by which a process loads the library and finds the shared file.
    ///
    /// # Panics
    /// When the library is not beside the test.
    pub(crate) fn environment(&self) -> Vec<(String, OsString)> {
        let test = std::env::current_exe().expect("a test has a path");
        let library = test.with_file_name(LIBRARY);
        assert!(
            library.exists(),
            "the build leaves the library beside the tests: {}",
            library.display()
        );
        vec![
            ("LD_PRELOAD".into(), library.into()),
            (FILE_VARIABLE.into(), self.path.clone().into()),
        ]
    }

    /// Makes the next `count` calls fail with an error number.
    pub(crate) fn fail_calls(&self, call: SystemCall, error_number: i32, count: i64) {
        self.set(Slot::ErrorNumber(call), i64::from(error_number));
        self.set(Slot::FailureCount(call), count);
    }

    /// Lets each read and write move no more than `max_bytes`; 0: as many as it can.
    pub(crate) fn limit_transfers(&self, max_bytes: i64) {
        self.set(Slot::MaxReadBytes, max_bytes);
        self.set(Slot::MaxWriteBytes, max_bytes);
    }

    /// Stalls the next `count` writes for so many milliseconds each.
    pub(crate) fn stall_writes(&self, milliseconds: i64, count: i64) {
        self.set(Slot::StallMilliseconds, milliseconds);
        self.set(Slot::StalledWrites, count);
    }

    /// Sets the wall clock so many seconds ahead of the machine's, or behind it.
    pub(crate) fn step_wall_clock(&self, seconds: i64) {
        self.set(Slot::WallClockOffset, seconds * NANOSECONDS_PER_SECOND);
    }

    fn set(&self, slot: Slot, value: i64) {
        let offset = slot.index() * SLOT_BYTES;
        self.file
            .write_all_at(&value.to_ne_bytes(), offset as u64)
            .expect("the shared file takes a value");
    }
}

impl Drop for FaultInjector {
    fn drop(&mut self) {
        // A file that is left in the temporary folder does no harm.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// No system call that can fail has this name.
#[derive(Debug)]
pub(crate) struct UnknownSystemCall(String);

impl fmt::Display for UnknownSystemCall {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "no system call '{}' can be made to fail", self.0)
    }
}

impl std::error::Error for UnknownSystemCall {}

impl FromStr for SystemCall {
    type Err = UnknownSystemCall;

    /// The system call that scenarios name so.
    fn from_str(name: &str) -> Result<SystemCall, UnknownSystemCall> {
        Ok(match name {
            "accept" => SystemCall::Accept,
            "socket" => SystemCall::Socket,
            "connect" => SystemCall::Connect,
            "register" => SystemCall::PollAdd,
            "wait" => SystemCall::PollWait,
            "read" => SystemCall::Read,
            "write" => SystemCall::Write,
            _ => return Err(UnknownSystemCall(name.to_string())),
        })
    }
}
